// Package declaration is a document that operators replace as a whole under a version. The quorum keeps it
// as it was sent; only those who use it decode it.
package declaration

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

// Corrupt means that the content of a document cannot be expanded.
const Corrupt Kind = "corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Document is one version of the declaration. The zero document stands for none. It is immutable.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	// Compressed is the content in DEFLATE form (RFC 1951). A document of several hundred routes shrinks to
	// a tenth, and links between data centres are dear.
	Compressed []byte `cbor:"2,keyasint"`
}

// New returns the document of a content.
func New(version uint64, content []byte) (Document, error) {
	const op = "compress declaration"
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return Document{}, fault.Wrap(err, op, Corrupt, "make writer")
	}
	if _, err := writer.Write(content); err != nil {
		return Document{}, fault.Wrap(err, op, Corrupt, "write")
	}
	if err := writer.Close(); err != nil {
		return Document{}, fault.Wrap(err, op, Corrupt, "close")
	}
	return Document{Version: version, Compressed: buffer.Bytes()}, nil
}

// MaxContentBytes bounds an expanded document.
const MaxContentBytes = 64 << 20

// Content returns what was declared, byte for byte.
func (d Document) Content() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(d.Compressed))
	defer reader.Close()
	content, err := io.ReadAll(io.LimitReader(reader, MaxContentBytes))
	return content, fault.Wrap(err, "expand declaration", Corrupt, "read")
}
