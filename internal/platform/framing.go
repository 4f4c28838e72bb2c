package platform

import (
	"bytes"
	"net/http"
)

// checkFraming rejects request heads that http.ReadRequest and another HTTP parser could frame differently, so that a
// second request could be smuggled in the body (RFC 9112, 6.1 to 6.3 and 11.2). head holds the bytes as received. Its
// error is an *inputError.
func checkFraming(head []byte, req *http.Request) error {
	lengths, codings := 0, 0
	for i, remaining := 0, bytes.TrimRight(head, "\r\n"); len(remaining) > 0; i++ {
		var line []byte
		line, remaining, _ = bytes.Cut(remaining, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		for _, char := range line {
			if char < ' ' && char != '\t' || char == 0x7f { // RFC 9110, 5.5
				return newInputError(http.StatusBadRequest, "head", "a control character in the head")
			}
		}
		if i == 0 {
			continue // http.ReadRequest validates the request line strictly
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return newInputError(http.StatusBadRequest, "head", "a folded header line")
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !isHeaderName(name) {
			return newInputError(http.StatusBadRequest, "head", "a header name that is no token")
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
		}
	}
	switch {
	case lengths > 0 && codings > 0:
		return newInputError(http.StatusBadRequest, "framing", "both Content-Length and Transfer-Encoding")
	case lengths > 1 || codings > 1:
		return newInputError(http.StatusBadRequest, "framing", "a repeated Content-Length or Transfer-Encoding")
	case codings > 0 && !req.ProtoAtLeast(1, 1):
		return newInputError(http.StatusBadRequest, "framing", "Transfer-Encoding before HTTP/1.1")
	}
	return nil
}

// isHeaderName reports whether s is a valid header name, a token (RFC 9110, 5.6.2). http.ReadRequest treats
// "Transfer-Encoding " as an unrelated header, but the next HTTP parser may apply it to the framing.
func isHeaderName(s []byte) bool {
	for _, c := range s {
		if !headerNameByte[c] {
			return false
		}
	}
	return len(s) > 0
}

// headerNameByte is true for each byte that may occur in a header name.
var headerNameByte = func() (allowed [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		allowed[c] = true
	}
	return allowed
}()
