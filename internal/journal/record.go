package journal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

const (
	// headerBytes is the length (4 bytes) and the CRC-32C (4 bytes) in front of each payload.
	headerBytes = 8
	// entryOverhead bounds the encoded size of an entry without its data.
	entryOverhead = 40
	// maxBatchBytes bounds the size of the entries of one record. A single larger entry still gets a record of
	// its own and fits into it, because commands are at most 1 MiB.
	maxBatchBytes = 4 << 20
	// maxRecordBytes bounds the payload of a record. An unreadable tail that is longer cannot be a torn write.
	maxRecordBytes = 16 << 20
	// recordFirstByte is the first byte of an encoded record: a CBOR array of four elements.
	recordFirstByte = 0x84
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// record is a part of the log that is written and synced as a whole.
type record struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// Initial is, in the first record of a file, the number of records that were synced before the file was
	// renamed to its final name. None of these can be torn.
	Initial uint64
	State   HardState
	Entries []Entry
}

// appendFrame adds length, CRC-32C and payload. The CRC covers the length too.
func appendFrame(to, payload []byte) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(to[start:], castagnoli), castagnoli, payload)
	to = binary.LittleEndian.AppendUint32(to, sum)
	return append(to, payload...)
}

// decodeFrame returns the payload of the frame at the start of data.
func decodeFrame(data []byte) ([]byte, bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxRecordBytes || int64(length) > int64(len(data)-headerBytes) {
		return nil, false
	}
	payload := data[headerBytes : headerBytes+int(length)]
	sum := crc32.Update(crc32.Checksum(data[:4], castagnoli), castagnoli, payload)
	return payload, sum == binary.LittleEndian.Uint32(data[4:])
}

func appendRecord(to []byte, r *record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return to, err
	}
	if len(payload) > maxRecordBytes {
		return to, eris.Errorf("record of %d bytes exceeds %d", len(payload), maxRecordBytes)
	}
	return appendFrame(to, payload), nil
}

// decodeLog returns the records of a log file and the number of bytes they take. Bytes after them are a torn
// tail. Unreadable bytes are damage instead of a torn tail when a readable record follows, when they belong to
// records that were synced before the file was renamed to its final name, or when they are more than one write
// can leave behind.
func decodeLog(data []byte) ([]record, int, error) {
	const op = "decode log"
	var records []record
	offset := 0
	initial := uint64(1)
	for offset < len(data) {
		payload, ok := decodeFrame(data[offset:])
		if !ok {
			break
		}
		var r record
		if err := decMode.Unmarshal(payload, &r); err != nil {
			return nil, 0, fault.Wrap(err, op, Corrupt, "payload")
		}
		if r.Sequence != uint64(len(records)) {
			return nil, 0, fault.New(op, Corrupt, "record %d found at the place of record %d", r.Sequence, len(records))
		}
		if r.Sequence == 0 {
			initial = r.Initial
		}
		records = append(records, r)
		offset += headerBytes + len(payload)
	}
	rest := data[offset:]
	switch {
	case uint64(len(records)) < initial:
		return nil, 0, fault.New(op, Corrupt, "record %d of the first %d is damaged", len(records), initial)
	case len(rest) > headerBytes+maxRecordBytes:
		return nil, 0, fault.New(op, Corrupt, "%d unreadable bytes from offset %d", len(rest), offset)
	case containsRecord(rest):
		return nil, 0, fault.New(op, Corrupt, "record %d at offset %d is damaged", len(records), offset)
	}
	return records, offset, nil
}

// containsRecord reports whether a readable record starts anywhere after the first byte of data.
func containsRecord(data []byte) bool {
	for i := 1; i+headerBytes < len(data); i++ {
		if data[i+headerBytes] != recordFirstByte {
			continue
		}
		if _, ok := decodeFrame(data[i:]); ok {
			return true
		}
	}
	return false
}

// encodeSnapshot returns the framed meta followed by the data.
func encodeSnapshot(meta SnapshotMeta, data []byte) ([]byte, error) {
	payload, err := cbor.Marshal(meta)
	if err != nil {
		return nil, err
	}
	return append(appendFrame(nil, payload), data...), nil
}

func decodeSnapshot(encoded []byte) (SnapshotMeta, []byte, error) {
	const op = "decode snapshot"
	payload, ok := decodeFrame(encoded)
	if !ok {
		return SnapshotMeta{}, nil, fault.New(op, Corrupt, "the header is damaged")
	}
	var meta SnapshotMeta
	if err := decMode.Unmarshal(payload, &meta); err != nil {
		return SnapshotMeta{}, nil, fault.Wrap(err, op, Corrupt, "header")
	}
	data := encoded[headerBytes+len(payload):]
	if uint64(len(data)) != meta.Size || xxhash.Sum64(data) != meta.Checksum {
		return SnapshotMeta{}, nil, fault.New(op, Corrupt, "the data of the snapshot at index %d is damaged", meta.Index)
	}
	return meta, data, nil
}

// readSnapshotPart reads up to limit bytes of the data of an encoded snapshot, starting at offset.
func readSnapshotPart(file io.ReaderAt, offset uint64, limit int) ([]byte, error) {
	header := make([]byte, headerBytes)
	if _, err := file.ReadAt(header, 0); err != nil {
		return nil, err
	}
	start := headerBytes + int64(binary.LittleEndian.Uint32(header))
	data := make([]byte, limit)
	n, err := file.ReadAt(data, start+int64(offset))
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return data[:n], err
}
