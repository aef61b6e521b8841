package registry

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Names of the variables that make the test binary another process of a benchmark.
const (
	watchersEnv = "OPALHOOK_REGISTRY_WATCHERS" // "ADDRESS COUNT": many watches of one replica
	encoderEnv  = "OPALHOOK_REGISTRY_ENCODER"  // "ADDRESS ENTRIES": a list that encodes each change for each watch
)

const watchCount = 10_000

// runWatchers opens watches and says when the last of them has had each generation, in Unix
// nanoseconds. A line on standard input makes all of them come again from nothing; its end is
// theirs.
func runWatchers(text string) error {
	addr, number, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("watchers: %w", err)
	}
	type heard struct {
		generation, at int64
		whole          bool // the first line of a watch
	}
	all := make(chan heard, n)
	commands := bufio.NewScanner(os.Stdin)
	for {
		var conns []net.Conn
		var mu sync.Mutex
		var work sync.WaitGroup
		for range n {
			work.Go(func() {
				for {
					c, lines, err := openWatch(addr)
					if err != nil && strings.Contains(err.Error(), " 503 ") {
						time.Sleep(time.Second + rand.N(2*time.Second)) // as it is advised
						continue
					}
					if err != nil { // the backlog is full
						time.Sleep(100 * time.Millisecond)
						continue
					}
					mu.Lock()
					conns = append(conns, c)
					mu.Unlock()
					go func() {
						for whole := true; ; {
							line, err := lines.ReadSlice('\n')
							at := time.Now().UnixNano()
							if bytes.HasPrefix(line, []byte(`{"generation":`)) {
								digits, _, _ := bytes.Cut(line[len(`{"generation":`):], []byte(","))
								g, _ := strconv.ParseInt(string(digits), 10, 64)
								all <- heard{g, at, whole}
								whole = false
							}
							for errors.Is(err, bufio.ErrBufferFull) {
								_, err = lines.ReadSlice('\n')
							}
							if err != nil {
								return
							}
						}
					}()
					return
				}
			})
		}
		work.Wait()
		// All have had the whole list once the first line of each has come; what follows are changes.
		first, last, count := map[int64]int64{}, map[int64]int64{}, map[int64]int{}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			whole := 0
			for h := range all {
				if h.generation < 0 {
					return
				}
				if h.whole {
					if whole++; whole == n {
						fmt.Println("whole", h.at)
					}
					continue
				}
				if count[h.generation]++; count[h.generation] == 1 {
					first[h.generation] = h.at
				}
				last[h.generation] = max(last[h.generation], h.at)
				if count[h.generation] == n {
					fmt.Println(h.generation, first[h.generation], last[h.generation])
				}
			}
		}()
		if !commands.Scan() {
			return nil
		}
		for _, c := range conns {
			c.Close()
		}
		all <- heard{generation: -1}
		<-ended
		for len(all) > 0 {
			<-all
		}
	}
}

// openWatch opens a watch from nothing and reads past its head.
func openWatch(addr string) (net.Conn, *bufio.Reader, error) {
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return nil, nil, err
	}
	if _, err := io.WriteString(c, "GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		c.Close()
		return nil, nil, err
	}
	lines := bufio.NewReaderSize(c, 1024)
	for i := 0; ; i++ {
		line, err := lines.ReadString('\n')
		if err == nil && i == 0 && !strings.Contains(line, " 200 ") {
			err = errors.New(line)
		}
		if err != nil {
			c.Close()
			return nil, nil, err
		}
		if line == "\r\n" {
			return c, bufio.NewReaderSize(httputil.NewChunkedReader(lines), 1024), nil
		}
	}
}

// watchers are the watches of one replica, as a process of their own.
type watchers struct {
	in  io.WriteCloser
	out *bufio.Scanner
}

func startWatchers(b *testing.B, addr string, n int) *watchers {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", watchersEnv, addr, n))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	w := &watchers{in, bufio.NewScanner(out)}
	w.next(b) // all are open
	return w
}

// next is what the watchers say next: numbers, after any word.
func (w *watchers) next(b *testing.B) (n []int64) {
	b.Helper()
	if !w.out.Scan() {
		b.Fatal("the watchers have ended")
	}
	for _, f := range strings.Fields(w.out.Text()) {
		if x, err := strconv.ParseInt(f, 10, 64); err == nil {
			n = append(n, x)
		}
	}
	return n
}
