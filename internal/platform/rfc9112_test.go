package platform

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
)

// This file holds a second request parser, written by the rules of RFC 9112 and without net/http. It determines where
// each request ends. If the client side finds another end, a second request could be smuggled in a body (RFC 9112,
// 11.2).

// A framedRequest is one request as parsed by the rules of RFC 9112.
type framedRequest struct {
	method, target string
	body           []byte
	end            int // offset after its last byte
}

// Character sets of the grammar. tchar is defined in RFC 9110, 5.6.2.
const (
	tchar = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	digit = "0123456789"
	hex   = digit + "ABCDEFabcdef"
)

// consistsOf reports whether s is not empty and holds only characters in of.
func consistsOf(s, of string) bool { return s != "" && strings.Trim(s, of) == "" }

// isFieldValue reports whether s holds only visible characters, spaces, tabs and obs-text (RFC 9110, 5.5).
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// readLine returns the line of data that starts at offset at, without its end, and the offset after it. A line may end
// with a single LF, which RFC 9112, 2.2 allows a recipient to accept. ok is false if the line has no end.
func readLine(data []byte, at int) (text string, next int, ok bool) {
	i := bytes.IndexByte(data[at:], '\n')
	if i < 0 {
		return "", at, false
	}
	return strings.TrimSuffix(string(data[at:at+i]), "\r"), at + i + 1, true
}

// frameRequest parses the request at offset at. complete is false if data ends before the request does. valid is false
// if the request violates the rules.
func frameRequest(data []byte, at int) (req framedRequest, complete, valid bool) {
	start, at, ok := readLine(data, at)
	if !ok {
		return req, false, true
	}
	parts := strings.Split(start, " ")
	if len(parts) != 3 || !consistsOf(parts[0], tchar) || parts[1] == "" || !isFieldValue(parts[1]) {
		return req, true, false
	}
	version := parts[2]
	if len(version) != 8 || !strings.HasPrefix(version, "HTTP/") || !consistsOf(version[5:6], digit) ||
		version[6] != '.' || !consistsOf(version[7:], digit) {
		return req, true, false
	}
	req.method, req.target = parts[0], parts[1]
	fields, complete, valid := framingFields(data, at)
	if !complete || !valid {
		return req, complete, valid
	}
	lengths, codings, at := fields.lengths, fields.codings, fields.next
	// The message body length, RFC 9112, 6.3.
	switch {
	case len(codings) > 0 && len(lengths) > 0, len(codings) > 1, len(lengths) > 1:
		return req, true, false
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") || version != "HTTP/1.1" {
			return req, true, false
		}
		return frameChunks(req, data, at)
	case len(lengths) == 1:
		if !consistsOf(lengths[0], digit) {
			return req, true, false
		}
		n := 0
		for _, c := range lengths[0] {
			if n = 10*n + int(c-'0'); n > 1<<30 {
				return req, true, false
			}
		}
		if at+n > len(data) {
			return req, false, true
		}
		req.body = data[at : at+n]
		at += n
	}
	req.end = at
	return req, true, true
}

// requestFields are the field lines of a request that frame its body.
type requestFields struct {
	lengths, codings []string
	next             int // offset after the empty line
}

// framingFields parses the field lines from offset at to the empty line after them. complete and valid are as for
// frameRequest.
func framingFields(data []byte, at int) (fields requestFields, complete, valid bool) {
	fields.next = at
	for {
		var text string
		var ok bool
		if text, fields.next, ok = readLine(data, fields.next); !ok {
			return fields, false, true
		}
		if text == "" {
			return fields, true, true
		}
		name, value, colon := strings.Cut(text, ":")
		if !colon || !consistsOf(name, tchar) || !isFieldValue(value) {
			return fields, true, false // includes obs-fold and white space before the colon (RFC 9112, 5.1, 5.2)
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			fields.lengths = append(fields.lengths, value)
		case "transfer-encoding":
			fields.codings = append(fields.codings, value)
		}
	}
}

// frameChunks parses the chunked body at offset at (RFC 9112, 7.1) and completes req. Its other results are as for
// frameRequest.
func frameChunks(req framedRequest, data []byte, at int) (framedRequest, bool, bool) {
	req.body = []byte{}
	for {
		head, next, ok := readLine(data, at)
		if !ok {
			return req, false, true
		}
		at = next
		size, _, _ := strings.Cut(head, ";")
		size = strings.TrimRight(size, " \t") // BWS (optional white space) before an extension
		if !consistsOf(size, hex) || len(strings.TrimLeft(size, "0")) > 7 {
			return req, true, false
		}
		long, _ := strconv.ParseUint(size, 16, 64)
		n := int(long)
		if n == 0 {
			break
		}
		if at+n+2 > len(data) {
			if at+n < len(data) && data[at+n] != '\r' && data[at+n] != '\n' {
				return req, true, false
			}
			if at+n+1 > len(data) || data[at+n] != '\n' {
				return req, false, true
			}
		}
		req.body = append(req.body, data[at:at+n]...)
		at += n
		switch {
		case data[at] == '\r' && data[at+1] == '\n':
			at += 2
		default:
			return req, true, false
		}
	}
	for { // trailers
		text, next, ok := readLine(data, at)
		if !ok {
			return req, false, true
		}
		at = next
		if text == "" {
			req.end = at
			return req, true, true
		}
		name, value, colon := strings.Cut(text, ":")
		if !colon || !consistsOf(name, tchar) || !isFieldValue(value) {
			return req, true, false
		}
	}
}

// newByteReader returns a buffered reader of data.
func newByteReader(data []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(data)) }
