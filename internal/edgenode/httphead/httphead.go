// Package httphead holds the heads of HTTP messages back until they are complete.
//
// The parsers of net/http read a head line by line and keep each header line as an entry of a map, which takes
// up to twenty times the memory of a short line. A peer that sends part of a head and stops would make the
// process hold that memory until a time limit passes. A [Buffer] keeps such a head as the bytes it arrived in,
// and passes it on when a parser can read it without waiting for the peer.
package httphead

import "bytes"

// entryMemory is the memory that a parser needs for a header line, or for an element of a comma-separated list such
// as that of the trailers, besides its text, in bytes.
const entryMemory = 128

// textCopies is the number of copies of a head's text that a parser keeps: of the target, both as received and decoded.
const textCopies = 2

// Buffer collects received bytes and passes them on in order, those of a head only once the head is complete.
// There are two exceptions, so that a parser reports a malformed head without delay: the first line is passed
// on as soon as it is complete, and so is everything up to a line that is no header line. The zero value is an
// empty buffer that passes all bytes on as they come.
type Buffer struct {
	received []byte // bytes that were not passed on yet
	ready    int    // number of leading bytes that may be passed on
	scanned  int    // number of leading bytes whose lines were examined

	limit     int  // longest head that is held back, in bytes; 0: no head is expected
	firstLine bool // the next line to examine is the first one of its head
	ended     bool // the bytes that may be passed on are the last ones that a parser reads of the head
	entries   int  // number of lines and list elements of the head that were examined
	passed    int  // number of bytes of the head that were passed on
}

// StartHead makes the buffer expect a head. A head that reaches limit bytes is passed on incomplete, for the
// parser to reject.
func (b *Buffer) StartHead(limit int) {
	b.ready, b.scanned, b.passed, b.entries = 0, 0, 0, 0
	b.limit, b.firstLine, b.ended = limit, true, false
}

// EndHead makes the buffer pass all bytes on as they come.
func (b *Buffer) EndHead() { b.limit, b.passed, b.ended = 0, 0, false }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return len(b.received) }

// Size returns the memory that the buffer occupies, in bytes.
func (b *Buffer) Size() int { return cap(b.received) }

// Passed returns the number of bytes of the expected head that were passed on. A parser holds their text.
func (b *Buffer) Passed() int { return b.passed }

// HeadEnded reports whether the bytes that Next returns are the last ones that a parser reads of the head.
func (b *Buffer) HeadEnded() bool {
	if b.ready == 0 {
		b.scan()
	}
	return b.ready > 0 && b.ended
}

// ParserMemory estimates the memory that a parser needs for the head up to the bytes that Next returns, in bytes. It
// is 0 if there are none.
func (b *Buffer) ParserMemory() int {
	if b.ready == 0 {
		b.scan()
	}
	if b.ready == 0 {
		return 0
	}
	return textCopies*(b.passed+b.ready) + b.entries*entryMemory
}

// Receive adds bytes that were received from the peer.
func (b *Buffer) Receive(text []byte) { b.received = append(b.received, text...) }

// Next moves bytes that may be passed on to p. It returns their number, 0 if more bytes must be received first.
func (b *Buffer) Next(p []byte) int {
	if b.ready == 0 {
		b.scan()
	}
	n := copy(p, b.received[:b.ready])
	b.received = b.received[n:]
	b.ready -= n
	b.scanned = max(b.scanned-n, 0)
	if b.limit > 0 {
		b.passed += n
	}
	if len(b.received) == 0 {
		b.received = nil
	}
	return n
}

// scan sets the number of bytes that may be passed on. It examines each line once.
func (b *Buffer) scan() {
	b.ended = false
	if b.limit == 0 {
		b.ready = len(b.received)
		return
	}
	for !b.ended {
		length := bytes.IndexByte(b.received[b.scanned:], '\n') + 1
		if length == 0 {
			break
		}
		line := b.received[b.scanned : b.scanned+length]
		b.scanned += length
		b.entries += 1 + bytes.Count(line, []byte{','})
		b.ended = !b.firstLine && (isEmpty(line) || !isHeaderLine(line))
		if b.ended || b.firstLine {
			b.ready = b.scanned
		}
		b.firstLine = b.firstLine && isEmpty(line) // some parsers skip empty lines in front of a head
	}
	if !b.ended && b.passed+len(b.received) >= b.limit {
		b.ready, b.ended = len(b.received), true
	}
}

// isEmpty reports whether a line consists of its line end only, as after the last header line.
func isEmpty(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// isHeaderLine reports whether a line may be a header line or the continuation of one.
func isHeaderLine(line []byte) bool {
	return line[0] == ' ' || line[0] == '\t' || bytes.IndexByte(line, ':') >= 0
}
