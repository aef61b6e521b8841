package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientRequest is one request of a client, in the form of the page on the protocol.
type clientRequest struct {
	class     string
	id        string
	expiresIn float64 // seconds
	body      string  // for classes that may not be repeated
	drawing   string  // sent in the query
}

// text returns the request as it is sent.
func (r clientRequest) text() string {
	method, length := http.MethodGet, ""
	if r.class != "price-check" {
		method, length = http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	query := "customer=00000000b4d65521"
	if r.drawing != "" {
		query += "&drawing=" + r.drawing
	}
	return fmt.Sprintf("%s /%s?%s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n"+
		"X-Contract: moyen\r\nX-Expires-In: %.3f\r\n%sX-Metering: units=1,spread=3,first=0\r\n\r\n%s",
		method, r.class, query, r.id, r.class, r.expiresIn, length, r.body)
}

// answer is what a client received for one request.
type answer struct {
	status int // 0: no answer
	body   string
	length int64 // Content-Length; -1: none
	close  bool  // the connection ends after this answer
	err    error // why there is no answer
	at     time.Time
}

// readAnswer reads one answer. It gives up at the time limit.
func readAnswer(c net.Conn, reader *bufio.Reader, limit time.Time) answer {
	_ = c.SetReadDeadline(limit)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	return answer{
		status: response.StatusCode, body: string(body), length: response.ContentLength, close: response.Close,
		at: time.Now(),
	}
}

// String describes an answer in the record.
func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}

// client is a client with one connection at a time, which it keeps.
type client struct {
	addr   string
	log    *record
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens the connection if there is none.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// close closes the connection, if there is one.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request in pieces of at most size bytes, with a pause after each of them, and returns the answer. A
// size of 0 stands for the whole request in one piece. sentAt is the time of its last byte.
func (c *client) do(r clientRequest, size int, pause time.Duration, wait time.Duration) (a answer, sentAt time.Time) {
	if err := c.connect(); err != nil {
		return answer{err: err, at: time.Now()}, time.Now()
	}
	text := r.text()
	if size == 0 {
		size = len(text)
	}
	for from := 0; from < len(text); from += size {
		if from > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c.conn, text[from:min(from+size, len(text))]); err != nil {
			break // reading tells what has happened
		}
	}
	sentAt = time.Now()
	a = readAnswer(c.conn, c.reader, sentAt.Add(wait))
	c.log.add("client of %s sent %s id=%s, whole at %.4f, got %v", c.addr, r.class, r.id, c.log.seconds(sentAt), a)
	if a.err != nil || a.close {
		c.close()
	}
	return a, sentAt
}
