package registry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/raft"
)

// readerAheadTimeout is how long a watch waits for this replica to reach the generation of a reader that is
// ahead of it.
const readerAheadTimeout = 2 * time.Second

// watchResponseHeader is the status line and the headers of the response to a watch.
const watchResponseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// handleList responds with the list, or opens a watch.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("watch") == "" {
		s.writeList(w)
		return
	}
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if query.Get("from") != "" && err != nil {
		writeError(w, http.StatusBadRequest, Invalid, "from: %q is no generation", truncate(query.Get("from")))
		return
	}
	if !s.watchLimiter.Allow() {
		s.metrics.rejectedWatches.Inc()
		writeUnavailable(w, "too many watches are being opened; retry")
		return
	}
	s.handleWatch(w, r, from)
}

// handleWatch takes over the connection of a watch from the HTTP server. The server's buffers and its second
// goroutine per connection would make up most of the cost of a watch.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request, from uint64) {
	if !r.ProtoAtLeast(1, 1) {
		writeError(w, http.StatusHTTPVersionNotSupported, Invalid, "a watch requires HTTP/1.1, since its response is chunked")
		return
	}
	read := s.fsm.readSince(from)
	if read.readerAhead {
		read = s.awaitGeneration(r, from)
	}
	if read.readerAhead {
		writeUnavailable(w, "this replica is behind generation %d; try another replica", from)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		writeError(w, http.StatusInternalServerError, Failed, "watch: %v", err)
		return
	}
	s.openWatches.Add(1)
	s.goroutines.Go(func() {
		defer s.openWatches.Add(-1)
		s.serveWatch(conn, read)
	})
}

// awaitGeneration waits until this replica reaches the generation of a reader that is ahead of it. A leader
// that a quorum confirms cannot be behind. If this replica is such a leader, the reader's generation belongs
// to another list, and the reader gets the full list of this one.
func (s *Server) awaitGeneration(r *http.Request, from uint64) watchRead {
	if s.raft.State() == raft.Leader && s.raft.VerifyLeader().Error() == nil {
		return s.fsm.readSince(0)
	}
	timer := time.NewTimer(readerAheadTimeout)
	defer timer.Stop()
	for {
		read := s.fsm.readSince(from)
		if !read.readerAhead {
			return read
		}
		select {
		case <-timer.C:
			return read
		case <-r.Context().Done():
			return read
		case <-s.ctx.Done():
			return read
		case <-read.updated:
		}
	}
}

// serveWatch writes the response of a watch until the client disconnects or the replica closes, and then
// closes the connection.
func (s *Server) serveWatch(conn net.Conn, read watchRead) {
	defer func() { _ = conn.Close() }() // the watch has ended
	stop := context.AfterFunc(s.ctx, func() {
		_ = conn.SetDeadline(time.Now()) // fails only if the connection has ended already
	})
	defer stop()
	if conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	read.chunks = append([][]byte{[]byte(watchResponseHeader)}, read.chunks...)
	s.feedWatch(conn, read)
}

// feedWatch writes changes until the watch ends. There is no queue per watch: all watches write the same
// bytes, which the FSM holds. A client that does not read is dropped. A disconnected client is detected at
// the next write.
func (s *Server) feedWatch(conn net.Conn, read watchRead) {
	heartbeat := s.randomHeartbeat()
	for {
		if err := writePaced(conn, read.chunks); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !s.shuttingDown.Load() {
				s.metrics.droppedWatches.Inc()
			}
			return
		}
		// The watch does not select on s.ctx.Done: all watches would share that channel, and 10,000 of them
		// would contend for its lock. Instead, shuttingDown is set before the final heartbeat.
		due := heartbeat.signal()
		if s.shuttingDown.Load() {
			return
		}
		select {
		case <-due:
			read.chunks = [][]byte{s.heartbeatChunk}
		case <-read.updated:
			read = s.fsm.readSince(read.generation)
		}
	}
}
