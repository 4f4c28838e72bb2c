// Package statefile stores one value in a file that a reader sees complete or not at all.
//
// A file holds a magic string with the version of its form, the length of the payload as a big-endian
// uint32, the payload as JSON, and the payload's CRC-32C. It is written to a temporary file in the same
// directory and renamed. The package has no state of its own.
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
	lengthSize   = 4 // bytes of the payload's length
	checksumSize = 4 // bytes of the payload's CRC-32C

	ownerOnly = 0o600 // permissions of a new file
)

// ErrUnreadable means that a file is torn, of another form, or written by another version of the program.
var ErrUnreadable = errors.New("the file cannot be read")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A File describes where a value is stored. Its methods may be called by several processes at once.
type File struct {
	Path    string
	Magic   string // names the form and its version; a file that begins otherwise is not read
	MaxSize int    // bytes of the complete file
	Sync    bool   // whether a written value must survive a crash of the machine
}

// Write replaces the stored value by another one, as JSON. With an error the stored value is unchanged.
func (f File) Write(value any) error {
	payload, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if len(payload) > f.MaxSize-len(f.Magic)-lengthSize-checksumSize {
		return fmt.Errorf("a value of %d bytes is over %d", len(payload), f.MaxSize)
	}
	// The process id keeps apart the temporary files of two processes that write at once.
	temporary := fmt.Sprintf("%s.%d.new", f.Path, os.Getpid())
	if err := f.writeTemporary(temporary, f.encode(payload)); err != nil {
		os.Remove(temporary)
		return err
	}
	return os.Rename(temporary, f.Path)
}

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

// Read reads the stored value. The error is os.ErrNotExist if there is none, and ErrUnreadable if the
// file cannot be used.
func (f File) Read(value any) error {
	if info, err := os.Stat(f.Path); err == nil && info.Size() > int64(f.MaxSize) {
		return fmt.Errorf("%w: too long", ErrUnreadable)
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

// encode returns the bytes of the file that stores a payload.
func (f File) encode(payload []byte) []byte {
	data := []byte(f.Magic)
	data = binary.BigEndian.AppendUint32(data, uint32(len(payload)))
	data = append(data, payload...)
	return binary.BigEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
}

// decode returns the payload in a file's bytes.
func (f File) decode(data []byte) ([]byte, error) {
	headerSize := len(f.Magic) + lengthSize
	if len(data) < headerSize+checksumSize || string(data[:len(f.Magic)]) != f.Magic {
		return nil, fmt.Errorf("%w: not of this form", ErrUnreadable)
	}
	length := int(binary.BigEndian.Uint32(data[len(f.Magic):]))
	if len(data) != headerSize+length+checksumSize {
		return nil, fmt.Errorf("%w: torn", ErrUnreadable)
	}
	payload := data[headerSize : headerSize+length]
	checksum := binary.BigEndian.Uint32(data[headerSize+length:])
	if crc32.Checksum(payload, castagnoli) != checksum {
		return nil, fmt.Errorf("%w: its checksum differs", ErrUnreadable)
	}
	return payload, nil
}

// Remove removes the stored value, if there is one.
func (f File) Remove() { os.Remove(f.Path) }
