package declaration_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Guards against a document that changes when it is compressed and decompressed.
func TestContentIsKept(t *testing.T) {
	is := is.New(t)
	content := strings.Repeat(`{"name": "route"}, `, 500)
	d, err := declaration.New(7, []byte(content))
	is.NoErr(err)
	is.True(len(d.Compressed) < len(content)/5)
	back, err := d.Content()
	is.NoErr(err)
	is.Equal(string(back), content)
}

// Guards against accepting damaged bytes as a document.
func TestDamagedContentIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := declaration.Document{Version: 1, Compressed: []byte{0xff, 0xff}}.Content()
	is.True(fault.Is(err, declaration.Corrupt))
}
