// Package statefile stores one value in a file that is replaced atomically.
//
// A file consists of a magic string with the version of the format, the length of the payload as a big-endian
// uint32, the payload as JSON, and the CRC-32C of the payload. It is written to a temporary file in the same
// directory, which is then renamed. The package has no state.
package statefile

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
)

const (
	lengthSize   = 4 // bytes of the payload's length field
	checksumSize = 4 // bytes of the payload's CRC-32C

	ownerOnly = 0o600 // permissions of a new file
)

// ErrUnreadable means that a file is truncated, corrupt or too large, or has another format or format version.
var ErrUnreadable = errors.New("the file cannot be read")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A File describes where and how a value is stored. Several processes may call its methods concurrently, but
// within a process only one goroutine at a time may call Write.
type File struct {
	Path    string
	Magic   string // identifies the format and its version; a file without this prefix is unreadable
	MaxSize int    // maximum size of the complete file, in bytes
	Sync    bool   // Write flushes a value to the disk before it replaces the old one, in case the machine crashes
}

// Write replaces the stored value by another one, encoded as JSON. If the file would exceed MaxSize or cannot be
// written, it returns an error and the stored value is unchanged.
func (f File) Write(value any) error {
	payload, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if len(payload) > f.MaxSize-len(f.Magic)-lengthSize-checksumSize {
		return fmt.Errorf("state file %s: a value of %d bytes exceeds the file size limit of %d bytes",
			f.Path, len(payload), f.MaxSize)
	}
	// The process id gives two processes that write concurrently different temporary files.
	temporary := fmt.Sprintf("%s.%d.new", f.Path, os.Getpid())
	if err := f.writeTemporary(temporary, f.encode(payload)); err != nil {
		os.Remove(temporary)
		return err
	}
	return os.Rename(temporary, f.Path)
}

// writeTemporary writes a new file, and flushes it to the disk if f.Sync is set.
func (f File) writeTemporary(path string, data []byte) (err error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, ownerOnly)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.Write(data); err != nil {
		return err
	}
	if f.Sync {
		return file.Sync()
	}
	return nil
}

// Read decodes the stored value into value, a pointer. The error is os.ErrNotExist if there is no file, and
// ErrUnreadable if its content cannot be used; value may then be partly set. Other errors of the file system are
// returned as they are.
func (f File) Read(value any) error {
	if info, err := os.Stat(f.Path); err == nil && info.Size() > int64(f.MaxSize) {
		return fmt.Errorf("%w: it has %d bytes, the limit is %d", ErrUnreadable, info.Size(), f.MaxSize)
	}
	data, err := os.ReadFile(f.Path)
	if err != nil {
		return err
	}
	payload, err := f.decode(data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(payload, value); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return nil
}

// encode returns the content of the file that stores a payload.
func (f File) encode(payload []byte) []byte {
	data := []byte(f.Magic)
	data = binary.BigEndian.AppendUint32(data, uint32(len(payload)))
	data = append(data, payload...)
	return binary.BigEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
}

// decode returns the payload of a file with the given content, or ErrUnreadable.
func (f File) decode(data []byte) ([]byte, error) {
	headerSize := len(f.Magic) + lengthSize
	if len(data) < headerSize+checksumSize || string(data[:len(f.Magic)]) != f.Magic {
		return nil, fmt.Errorf("%w: it is too short or does not begin with %q", ErrUnreadable, f.Magic)
	}
	length := int(binary.BigEndian.Uint32(data[len(f.Magic):]))
	if len(data) != headerSize+length+checksumSize {
		return nil, fmt.Errorf("%w: its size differs from the recorded length", ErrUnreadable)
	}
	payload := data[headerSize : headerSize+length]
	checksum := binary.BigEndian.Uint32(data[headerSize+length:])
	if crc32.Checksum(payload, castagnoli) != checksum {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrUnreadable)
	}
	return payload, nil
}

// Remove removes the stored value, if there is one. Errors are ignored.
func (f File) Remove() { os.Remove(f.Path) }
