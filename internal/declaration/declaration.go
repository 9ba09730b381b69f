// Package declaration holds the declaration, a document that operators replace as a whole under a version. The quorum
// stores it as it was sent; only the processes that use it decode it.
package declaration

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

// Corrupt means that the content of a document cannot be compressed or decompressed.
const Corrupt Kind = "corrupt"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Document is one version of the declaration. The zero document stands for none. It is immutable.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	// Compressed is the content in DEFLATE form (RFC 1951). A document of several hundred routes shrinks to a tenth, and
	// bandwidth between data centres is expensive.
	Compressed []byte `cbor:"2,keyasint"`
}

// New returns a document with the given content, compressed.
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

// MaxContentBytes bounds a decompressed document.
const MaxContentBytes = 64 << 20

// Content returns the decompressed content, byte for byte as it was declared.
func (d Document) Content() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(d.Compressed))
	defer reader.Close()
	content, err := io.ReadAll(io.LimitReader(reader, MaxContentBytes))
	return content, fault.Wrap(err, "expand declaration", Corrupt, "read")
}
