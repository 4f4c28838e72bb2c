package foxlift_test

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
	"slices"
)

// errCorrupt means that the stored bytes were not written by an archive.
var errCorrupt = errors.New("the recording is truncated or corrupt")

// An archive encodes values to bytes or decodes them, in the order in which its methods are called. One function
// for each type defines this order for both directions. The bytes do not depend on names in the program, so
// recordings stay readable when names change.
type archive struct {
	writing bool
	data    []byte // written so far, or not yet read
	err     error  // first error of reading

	now       int64          // base of the stored times
	lastID    uint64         // base of the stored request IDs
	strings   []string       // distinct strings so far; each is stored once
	positions map[string]int // positions in strings, used when writing
}

func newWriter() *archive { return &archive{writing: true, positions: map[string]int{}} }

func newReader(data []byte) *archive { return &archive{data: data} }

func (a *archive) fail() {
	a.err = errCorrupt
	a.data = nil
}

func (a *archive) uint64(v *uint64) {
	if a.writing {
		a.data = binary.AppendUvarint(a.data, *v)
		return
	}
	x, size := binary.Uvarint(a.data)
	if size <= 0 {
		a.fail()
		return
	}
	*v, a.data = x, a.data[size:]
}

// int64 stores a number in zigzag form, in few bytes if it is near zero.
func (a *archive) int64(v *int64) {
	zigzag := uint64(*v<<1) ^ uint64(*v>>63)
	a.uint64(&zigzag)
	*v = int64(zigzag>>1) ^ -int64(zigzag&1)
}

func (a *archive) int(v *int) {
	wide := int64(*v)
	a.int64(&wide)
	*v = int(wide)
}

// float stores all bits in reversed byte order: round numbers take few bytes, since their last bits are zero.
func (a *archive) float(v *float64) {
	reversed := bits.ReverseBytes64(math.Float64bits(*v))
	a.uint64(&reversed)
	*v = math.Float64frombits(bits.ReverseBytes64(reversed))
}

func (a *archive) bool(v *bool) {
	number := uint64(0)
	if *v {
		number = 1
	}
	a.uint64(&number)
	*v = number == 1
}

// storedGrid is a duration, in nanoseconds, of which most durations in the recordings are multiples.
const storedGrid = int64(5e5)

// duration stores multiples of the grid in few bytes.
func (a *archive) duration(v *int64) {
	onGrid, number := *v%storedGrid == 0, *v
	if a.bool(&onGrid); !onGrid {
		a.int64(v)
		return
	}
	number /= storedGrid
	a.int64(&number)
	*v = number * storedGrid
}

// time stores a time as its distance from now. Zero, which mostly means no time, stays zero.
func (a *archive) time(v *int64) {
	zero := *v == 0
	if a.bool(&zero); zero {
		*v = 0
		return
	}
	distance := *v - a.now
	a.duration(&distance)
	*v = a.now + distance
}

// id stores a request ID as its distance from the ID of the newest request.
func (a *archive) id(v *uint64) {
	distance := int64(*v - a.lastID)
	a.int64(&distance)
	*v = a.lastID + uint64(distance)
}

// optional stores whether some fields are present, and the fields if they are.
func (a *archive) optional(present bool, fields func()) {
	if a.bool(&present); present {
		fields()
	}
}

func (a *archive) bytes(v *[]byte) {
	size := uint64(len(*v))
	a.uint64(&size)
	switch {
	case a.writing:
		a.data = append(a.data, *v...)
	case size > uint64(len(a.data)):
		a.fail()
	case size > 0:
		*v, a.data = slices.Clone(a.data[:size]), a.data[size:]
	}
}

// string stores a string at its first use, and its position among all strings after that.
func (a *archive) string(v *string) {
	position, seen := a.positions[*v]
	if !seen {
		position = len(a.strings)
	}
	a.int(&position)
	switch {
	case position < 0 || position > len(a.strings):
		a.fail()
	case position < len(a.strings):
		*v = a.strings[position]
	default:
		text := []byte(*v)
		a.bytes(&text)
		*v = string(text)
		a.strings = append(a.strings, *v)
		if a.writing {
			a.positions[*v] = position
		}
	}
}

// slice stores a slice. Nil and empty slices are distinct.
func slice[T any](a *archive, v *[]T, element func(*T)) {
	size := uint64(0)
	if *v != nil {
		size = uint64(len(*v)) + 1
	}
	a.uint64(&size)
	if !a.writing {
		*v = nil
		if size > uint64(len(a.data))+1 { // each element takes at least one byte
			a.fail()
			return
		}
		if size > 0 {
			*v = make([]T, size-1)
		}
	}
	for i := range *v {
		element(&(*v)[i])
	}
}

// enum stores a constant as its position in a table. Existing positions must not change.
func enum[T comparable](a *archive, v *T, table []T) {
	position := slices.Index(table, *v)
	if a.writing && position < 0 {
		panic("the constant is not in the table of the recording format")
	}
	a.int(&position)
	if position < 0 || position >= len(table) {
		a.fail()
		return
	}
	*v = table[position]
}
