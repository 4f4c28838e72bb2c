package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
)

// A lineReader reads the lines of a worker's answer. Lines that exceed its buffer are collected in memory that is
// acquired before; until then the rest of the answer stays with the kernel and the worker.
type lineReader struct {
	line []byte // the current line with its end, valid until next is called
	err  error  // why reading ended before the end of the answer; nil at its end

	in      *bufio.Reader
	acquire func() error // acquires the memory for long lines; called once at most
	long    []byte       // memory for long lines; nil before acquire has succeeded
	ended   bool
}

// newLineReader returns a reader of the lines in body.
func newLineReader(body io.Reader, acquire func() error) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(body, lineBufferSize), acquire: acquire}
}

// lineBufferSize is the size of the buffer of a lineReader, in bytes.
const lineBufferSize = 2 << 10

// isLong reports whether acquire has succeeded.
func (r *lineReader) isLong() bool { return r.long != nil }

// next reads the next line. It returns false at the end of the answer or after an error. The last line needs no end.
func (r *lineReader) next() bool {
	if r.ended {
		return false
	}
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLong(line)
	}
	r.line, r.ended = line, err != nil
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
		return false
	}
	return err == nil || len(line) > 0
}

// readLong returns the complete line that begins with start. The size of the answer bounds that of the line.
func (r *lineReader) readLong(start []byte) ([]byte, error) {
	if !r.isLong() {
		if err := r.acquire(); err != nil {
			return nil, err
		}
		r.long = make([]byte, 0, len(start))
	}
	r.long = append(r.long[:0], start...)
	for {
		part, err := r.in.ReadSlice('\n')
		r.long = append(r.long, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.long, err
		}
	}
}

// Memory for long answers: the line, its parsed form and the result that is passed on.
const (
	longAnswerBytes         = 4 * maxBodyBytes // for one answer
	longAnswerMemoryDivisor = 16               // of the memory limit; long answers may take 1/16 of it
)

// maxLongAnswers returns how many long answers are read at a time by a scheduler that may use memory bytes.
func maxLongAnswers(memory int64) int64 {
	return max(1, memory/longAnswerMemoryDivisor/longAnswerBytes)
}

// acquireLongAnswer waits until there is memory for a long answer, or returns the error of ctx.
func (p *workerPool) acquireLongAnswer(ctx context.Context) error {
	if p.longAnswers == nil {
		return nil
	}
	return p.longAnswers.Acquire(ctx, 1)
}

// releaseLongAnswer gives back the memory of one long answer.
func (p *workerPool) releaseLongAnswer() {
	if p.longAnswers != nil {
		p.longAnswers.Release(1)
	}
}
