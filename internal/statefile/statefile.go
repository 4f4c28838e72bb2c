// Package statefile keeps one value in a file that a reader sees whole or not at all: a mark with the
// form's version, the length of what follows, JSON, and its CRC-32C. It is written aside and renamed.
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
	lengthSize   = 4
	checksumSize = 4
)

// ErrUnreadable means that a file is torn, of another form or of another program's version.
var ErrUnreadable = errors.New("the file cannot be read")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A File is where a value is kept.
type File struct {
	Path    string
	Magic   string // of the form and its version; a file with another one is not read
	MaxSize int    // bytes that the file may have
	Sync    bool   // a written value is to outlast the machine's crash
}

// Write writes a value as JSON. It replaces the one before, or with an error leaves that.
func (f File) Write(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if len(text) > f.MaxSize-len(f.Magic)-lengthSize-checksumSize {
		return fmt.Errorf("a value of %d bytes is over %d", len(text), f.MaxSize)
	}
	data := append([]byte(f.Magic), binary.BigEndian.AppendUint32(nil, uint32(len(text)))...)
	data = append(data, text...)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(text, castagnoli))
	aside := fmt.Sprintf("%s.%d.new", f.Path, os.Getpid()) // two processes may write at once
	if err := f.writeTemporary(aside, data); err != nil {
		os.Remove(aside)
		return err
	}
	return os.Rename(aside, f.Path)
}

func (f File) writeTemporary(path string, data []byte) (err error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
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

// Read reads the value that was written last. The error is os.ErrNotExist where there is none, and
// ErrUnreadable where it cannot be used.
func (f File) Read(value any) error {
	if info, err := os.Stat(f.Path); err == nil && info.Size() > int64(f.MaxSize) {
		return fmt.Errorf("%w: too long", ErrUnreadable)
	}
	data, err := os.ReadFile(f.Path)
	if err != nil {
		return err
	}
	text, err := f.decode(data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, value); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return nil
}

// unwrap returns the JSON of a file's bytes.
func (f File) decode(data []byte) ([]byte, error) {
	head := len(f.Magic) + lengthSize
	if len(data) < head+checksumSize || string(data[:len(f.Magic)]) != f.Magic {
		return nil, fmt.Errorf("%w: not of this form", ErrUnreadable)
	}
	length := int(binary.BigEndian.Uint32(data[len(f.Magic):]))
	if len(data) != head+length+checksumSize {
		return nil, fmt.Errorf("%w: torn", ErrUnreadable)
	}
	text, sum := data[head:head+length], binary.BigEndian.Uint32(data[head+length:])
	if crc32.Checksum(text, castagnoli) != sum {
		return nil, fmt.Errorf("%w: its checksum differs", ErrUnreadable)
	}
	return text, nil
}

// Remove removes the value, so that no later process takes it for new.
func (f File) Remove() { os.Remove(f.Path) }
