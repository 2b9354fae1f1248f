package wal

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"hash/crc32"
)

// A segment is a header followed by frames. Every frame starts with the random
// salt of its segment, so that a payload cannot be mistaken for a frame.
//
//	header: magic 8 | flags 4 | salt 8 | first frame number 8 | CRC32C 4
//	frame:  salt 8 | payload length 4 | frame number 8 | CRC32C 4 | payload
//
// The CRC of a header covers the fields before it; that of a frame covers
// length, number and payload.
const (
	magic       = "BMWAL\x00\x00\x01"
	headerBytes = 32
	frameBytes  = 24 // size of a frame without its payload
	saltBytes   = 8

	// flagReset marks a segment whose first record replaces all earlier records.
	flagReset = 1
)

// MaxRecordBytes is the largest size of a record.
const MaxRecordBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type header struct {
	reset bool            // the first record of the segment replaces all earlier records
	salt  [saltBytes]byte // random; starts every frame of the segment
	first uint64          // number of the first frame
}

func newHeader(reset bool, first uint64) header {
	h := header{reset: reset, first: first}
	_, _ = rand.Read(h.salt[:]) // never returns an error
	return h
}

func (h header) encode() []byte {
	b := make([]byte, 0, headerBytes)
	b = append(b, magic...)
	var flags uint32
	if h.reset {
		flags = flagReset
	}
	b = binary.LittleEndian.AppendUint32(b, flags)
	b = append(b, h.salt[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeHeader(b []byte) (h header, ok bool) {
	if len(b) < headerBytes || string(b[:8]) != magic {
		return h, false
	}
	if crc32.Checksum(b[:28], castagnoli) != binary.LittleEndian.Uint32(b[28:]) {
		return h, false
	}
	h.reset = binary.LittleEndian.Uint32(b[8:])&flagReset != 0
	copy(h.salt[:], b[12:])
	h.first = binary.LittleEndian.Uint64(b[20:])
	return h, true
}

func (h header) appendFrame(b []byte, number uint64, payload []byte) []byte {
	b = append(b, h.salt[:]...)
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	crc := crc32.Update(crc32.Checksum(b[start:], castagnoli), castagnoli, payload)
	b = binary.LittleEndian.AppendUint32(b, crc)
	return append(b, payload...)
}

// frame decodes the frame at the start of b and reports whether it is intact.
func (h header) frame(b []byte) (number uint64, payload []byte, ok bool) {
	if len(b) < frameBytes || !bytes.Equal(b[:saltBytes], h.salt[:]) {
		return 0, nil, false
	}
	length := binary.LittleEndian.Uint32(b[8:])
	if length > MaxRecordBytes || uint64(len(b)-frameBytes) < uint64(length) {
		return 0, nil, false
	}
	number = binary.LittleEndian.Uint64(b[12:])
	payload = b[frameBytes : frameBytes+int(length)]
	crc := crc32.Update(crc32.Checksum(b[8:20], castagnoli), castagnoli, payload)
	return number, payload, crc == binary.LittleEndian.Uint32(b[20:])
}

// containsFrame reports whether an intact frame starts anywhere in b.
func (h header) containsFrame(b []byte) bool {
	for {
		i := bytes.Index(b, h.salt[:])
		if i < 0 {
			return false
		}
		if _, _, ok := h.frame(b[i:]); ok {
			return true
		}
		b = b[i+1:]
	}
}
