package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// Readers of the list: once, and over a watch that stays open.

// watchHead begins a watch's answer.
const watchResponseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// watch takes a watch's connection from the HTTP server, whose buffers and second goroutine for
// each would be most of what a watch costs.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request, from uint64) {
	if !r.ProtoAtLeast(1, 1) {
		writeError(w, http.StatusHTTPVersionNotSupported, Invalid, "a watch is told in chunks, as HTTP/1.1 has them")
		return
	}
	rd := s.fsm.readSince(from)
	if rd.readerAhead {
		if rd = s.awaitGeneration(r, from); rd.readerAhead {
			writeUnavailable(w, "this replica is behind generation %d; ask another", from)
			return
		}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		writeError(w, http.StatusInternalServerError, "failed", "watch: %v", err)
		return
	}
	s.openWatches.Add(1)
	s.goroutines.Go(func() {
		defer s.openWatches.Add(-1)
		defer conn.Close()
		defer context.AfterFunc(s.ctx, func() { conn.SetDeadline(time.Now()) })()
		if conn.SetReadDeadline(time.Time{}) != nil {
			return
		}
		rd.chunks = append([][]byte{[]byte(watchResponseHeader)}, rd.chunks...)
		s.feedWatch(conn, rd)
	})
}

// feed writes changes until the watch ends. It holds no queue: what is to be written lies in the
// machine, the same bytes for all, and a reader that takes nothing is dropped. One that is gone
// is found at the next line.
func (s *Server) feedWatch(conn net.Conn, rd watchRead) {
	beat := &s.heartbeats[rand.IntN(len(s.heartbeats))]
	for {
		if err := writePaced(conn, rd.chunks); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !s.shuttingDown.Load() {
				s.droppedWatches.Inc()
			}
			return
		}
		// No other channel is waited for: 10,000 watches would wait for its lock.
		struck := beat.signal()
		if s.shuttingDown.Load() {
			return
		}
		select {
		case <-struck:
			rd.chunks = [][]byte{s.heartbeatChunk}
		case <-rd.updated:
			rd = s.fsm.readSince(rd.generation)
		}
	}
}

// writeChunks writes chunks to a watch a piece at a time, each within writeWithin: so a slow reader is
// not dropped for the length of what it is told. The slice of chunks is used up.
func writePaced(conn net.Conn, chunks [][]byte) error {
	for len(chunks) > 0 {
		var piece net.Buffers
		piece, chunks = nextWrite(chunks)
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		var err error
		if len(piece) == 1 {
			_, err = conn.Write(piece[0])
		} else {
			_, err = piece.WriteTo(conn)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// nextPiece takes up to writePiece bytes, and at least one, from the front of chunks.
func nextWrite(chunks [][]byte) (piece net.Buffers, rest [][]byte) {
	size := 0
	for i, c := range chunks {
		if room := maxWriteSize - size; len(c) > room {
			if room == 0 {
				return chunks[:i:i], chunks[i:]
			}
			piece = append(chunks[:i:i], c[:room])
			chunks[i] = c[room:]
			return piece, chunks[i:]
		}
		size += len(c)
	}
	return chunks, nil
}

// beat wakes a part of the watches for their empty line. A timer for each watch would have all of
// them wait for the runtime's lock on its timers at every change.
type heartbeat struct{ current atomic.Pointer[chan struct{}] }

func (b *heartbeat) signal() chan struct{} { return *b.current.Load() }

func (b *heartbeat) broadcast() {
	ch := make(chan struct{})
	if old := b.current.Swap(&ch); old != nil {
		close(*old)
	}
}

// strikeBeats strikes each part in its turn, and all of them when the replica ends.
func (s *Server) runHeartbeats() {
	t := time.NewTicker(heartbeatInterval / heartbeatGroups)
	defer t.Stop()
	for i := 0; ; i = (i + 1) % heartbeatGroups {
		select {
		case <-s.ctx.Done():
			s.shuttingDown.Store(true)
			for i := range s.heartbeats {
				s.heartbeats[i].broadcast()
			}
			return
		case <-t.C:
			s.heartbeats[i].broadcast()
		}
	}
}

// awaitReader lets a reader wait that is ahead of this replica. A leader whose quorum confirms
// it is behind nobody: what the reader holds is of another list, and it gets the whole of this.
func (s *Server) awaitGeneration(r *http.Request, from uint64) watchRead {
	if s.raft.State() == raft.Leader && s.raft.VerifyLeader().Error() == nil {
		return s.fsm.readSince(0)
	}
	timer := time.NewTimer(readerAheadTimeout)
	defer timer.Stop()
	for {
		rd := s.fsm.readSince(from)
		if !rd.readerAhead {
			return rd
		}
		select {
		case <-timer.C:
			return rd
		case <-r.Context().Done():
			return rd
		case <-s.ctx.Done():
			return rd
		case <-rd.updated:
		}
	}
}

// read answers the list or a watch, in the platform's form.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("watch") == "" {
		text := s.fsm.currentList().json()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		rc := http.NewResponseController(w)
		for piece := range slices.Chunk(text, maxWriteSize) {
			if rc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				return
			}
			if _, err := w.Write(piece); err != nil {
				return // one that takes nothing holds nothing
			}
		}
		return
	}
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if q.Get("from") != "" && err != nil {
		writeError(w, http.StatusBadRequest, Invalid, "from: %q is no generation", truncate(q.Get("from")))
		return
	}
	if !s.watchLimiter.Allow() {
		s.rejectedWatches.Inc()
		writeUnavailable(w, "too many watches are being opened; come again")
		return
	}
	s.handleWatch(w, r, from)
}
