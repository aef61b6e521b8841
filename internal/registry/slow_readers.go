package registry

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	writeTimeout = 5 * time.Second // limit for one write to a client

	// maxWriteSize is the largest size of one write, in bytes. A client that reads 7 KB a second receives it
	// within writeTimeout.
	maxWriteSize = 32 << 10

	// sendBufferSize is the size of a connection's send buffer, in bytes. By default, the kernel would buffer
	// megabytes for each client that does not read.
	sendBufferSize = 32 << 10
)

// smallBufferListener is a listener whose connections have a send buffer of sendBufferSize.
type smallBufferListener struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		err = tcp.SetWriteBuffer(sendBufferSize)
	}
	return conn, err
}

// writeList responds with the full list, in writes of up to maxWriteSize bytes that may each take
// writeTimeout.
func (s *Server) writeList(w http.ResponseWriter) {
	text := s.fsm.currentList().json()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	controller := http.NewResponseController(w)
	for part := range slices.Chunk(text, maxWriteSize) {
		if controller.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return // the client has disconnected or does not read
		}
	}
}

// writePaced writes chunks to a watch, in writes of up to maxWriteSize bytes that may each take writeTimeout.
// A slow client is therefore not dropped because of the amount of data. writePaced modifies the slice of
// chunks.
func writePaced(conn net.Conn, chunks [][]byte) error {
	for len(chunks) > 0 {
		var next net.Buffers
		next, chunks = nextWrite(chunks)
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := writeBuffers(conn, next); err != nil {
			return err
		}
	}
	return nil
}

// writeBuffers writes buffers with one system call. A single buffer needs no vectored write.
func writeBuffers(conn net.Conn, buffers net.Buffers) error {
	if len(buffers) == 1 {
		_, err := conn.Write(buffers[0])
		return err
	}
	_, err := buffers.WriteTo(conn)
	return err
}

// nextWrite splits up to maxWriteSize bytes off the front of chunks, and at least one byte if there are any.
// It modifies the slice.
func nextWrite(chunks [][]byte) (next net.Buffers, rest [][]byte) {
	size := 0
	for i, c := range chunks {
		left := maxWriteSize - size
		switch {
		case len(c) <= left:
			size += len(c)
		case left == 0:
			return chunks[:i:i], chunks[i:]
		default:
			next = append(chunks[:i:i], c[:left])
			chunks[i] = c[left:]
			return next, chunks[i:]
		}
	}
	return chunks, nil
}
