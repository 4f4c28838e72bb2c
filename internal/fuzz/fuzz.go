// Package fuzz plays a property of bytes from fixed seeds: the same inputs each time,
// on every machine, so that plain go test holds what native fuzzing once found. It is
// for tests alone. The inputs are seeds changed in the ways that break parsers: bits,
// cuts, copies, joins, and the words and numbers that parsers mind.
package fuzz

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// words are what parsers of this program mind.
var tokens = []string{
	"\r\n", "\n", "\r", "\x00", " ", "\t", ":", ",", ";", "0", "-1", "+5", "1e400", "NaN", "9223372036854775807", "18446744073709551616",
	"0x10", "{", "}", "[", "]", "\"", "null", "chunked", "Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n", "HTTP/1.1", "(", ")", "\\",
	"\xff", "é", `\u0000`,
}

// Play checks a property on the seeds, and on n inputs that are made of them.
func Run(t *testing.T, seed uint64, n int, seeds [][]byte, check func(testing.TB, []byte)) {
	t.Helper()
	for _, s := range seeds {
		check(t, bytes.Clone(s))
	}
	rng := rand.New(rand.NewPCG(seed, 0xf0))
	for range n {
		check(t, Mutate(rng, seeds))
	}
}

const maxInput = 8 << 10

// Mutate makes an input of the seeds.
func Mutate(rng *rand.Rand, seeds [][]byte) []byte {
	data := bytes.Clone(seeds[rng.IntN(len(seeds))])
	if len(data) > maxInput {
		data = data[:maxInput]
	}
	for range 1 + rng.IntN(4) {
		at := rng.IntN(len(data) + 1)
		to := min(len(data), at+rng.IntN(1+min(40, len(data)-at)))
		switch rng.IntN(8) {
		case 0: // a byte changed
			if at < len(data) {
				data[at] ^= 1 << rng.IntN(8)
			}
		case 1: // a byte of any value
			if at < len(data) {
				data[at] = byte(rng.IntN(256))
			}
		case 2: // a piece gone
			data = append(data[:at:at], data[to:]...)
		case 3: // a piece twice
			data = append(data[:to:to], data[at:]...)
		case 4: // cut short
			data = data[:at]
		case 5: // a word put in
			data = append(data[:at:at], append([]byte(tokens[rng.IntN(len(tokens))]), data[at:]...)...)
		case 6: // a piece made a word
			data = append(data[:at:at], append([]byte(tokens[rng.IntN(len(tokens))]), data[to:]...)...)
		case 7: // part of another seed behind it
			other := seeds[rng.IntN(len(seeds))]
			data = append(data[:at:at], other[min(len(other), rng.IntN(1+min(len(other), maxInput))):]...)
		}
		if len(data) > maxInput {
			data = data[:maxInput]
		}
	}
	return data
}
