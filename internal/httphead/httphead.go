// Package httphead checks the heads of HTTP messages and estimates the memory that they take.
package httphead

import "net/http"

// LineBytes is the memory that the fields of a parsed head take for each line, beside the
// bytes of the line: entries of a map, slices and strings. A head of 62 KiB in lines of 7
// bytes takes 1.1 MB, 120 bytes a line.
const LineBytes = 128

// Size returns the memory that a parsed header takes.
func Size(h http.Header) int64 {
	size := int64(0)
	for name, values := range h {
		for _, value := range values {
			size += int64(len(name) + len(value) + LineBytes)
		}
	}
	return size
}

// Scanner finds the end of a head in the bytes of a connection. Its zero value begins at the
// begin of a head, or at empty lines before it.
type Scanner struct {
	// lineBytes is the length of the current line so far without carriage returns.
	lineBytes int
	// begun is set once a line that is not empty has ended, ended once the blank line after the
	// head has.
	begun, ended bool
	folded       bool
	// blank is set after the first blank of the first line, which the status of a response follows.
	blank bool
	// class is the first digit of the status of a response, 0 until it has been scanned.
	class byte
	// matched is how many bytes of transferEncoding the current line begins with.
	matched             int
	hasTransferEncoding bool
}

// transferEncoding is the beginning of a line with the field Transfer-Encoding, in lower case.
const transferEncoding = "transfer-encoding:"

// HasTransferEncoding reports whether the head has the field Transfer-Encoding. net/http removes it from a head
// of HTTP/1.0.
func (s *Scanner) HasTransferEncoding() bool { return s.hasTransferEncoding }

// Interim reports whether the head is that of an interim response, so that another one follows.
func (s *Scanner) Interim() bool { return s.class == '1' }

// Folded reports whether a line after the first one begins with white space, which continues the line
// before it by the obsolete line folding of RFC 9112, section 5.2.
func (s *Scanner) Folded() bool { return s.folded }

// Scan returns the number of bytes of b that belong to the head, and that of its lines.
func (s *Scanner) Scan(b []byte) (n, lines int) {
	for i, c := range b {
		switch {
		case s.ended:
			return i, lines
		case c == '\n':
			lines++
			s.ended = s.begun && s.lineBytes == 0
			s.begun, s.lineBytes, s.matched = s.begun || s.lineBytes > 0, 0, 0
		case c != '\r':
			s.scanByte(c)
			s.lineBytes++
		}
	}
	return len(b), lines
}

// scanByte takes a byte of a line before its end.
func (s *Scanner) scanByte(c byte) {
	isBlank := c == ' ' || c == '\t'
	switch {
	case s.begun:
		s.folded = s.folded || isBlank && s.lineBytes == 0
		s.matchTransferEncoding(c)
	case isBlank:
		s.blank = true
	case s.blank && s.class == 0:
		s.class = c
	}
}

// matchTransferEncoding takes a byte of a line after the first one.
func (s *Scanner) matchTransferEncoding(c byte) {
	if c >= 'A' && c <= 'Z' {
		c += 'a' - 'A'
	}
	if s.matched == s.lineBytes && s.matched < len(transferEncoding) && c == transferEncoding[s.matched] {
		s.matched++
		s.hasTransferEncoding = s.hasTransferEncoding || s.matched == len(transferEncoding)
	}
}
