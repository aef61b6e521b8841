package registry

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"opalhook/internal/golden"
)

// recordedFolder is the folder in testdata with a data folder of an earlier version. Its README says how it
// was recorded.
const recordedFolder = "data-69ea924/"

// The addresses of the recorded replica. A replica can only be started again at its recorded address. Neither
// testnet nor the testbed assigns this host, and the ports are below those that the kernel assigns.
const (
	recordedListen = "127.252.69.92:8500"
	recordedRaft   = "127.252.69.92:8501"
)

// A data folder of an earlier version opens with the same list, incarnations, leases, tombstones and changes:
// from its snapshot and the rest of the log, and from the log alone.
func TestRecordedDataFolder(t *testing.T) {
	for _, c := range []struct {
		name     string
		snapshot bool
	}{{"snapshot and log", true}, {"log alone", false}} {
		t.Run(c.name, func(t *testing.T) {
			dir := unpack(t, golden.Read(t, recordedFolder+"data.tar.gz"))
			snapshots, err := filepath.Glob(filepath.Join(dir, "snapshots", "*"))
			if err != nil || len(snapshots) != 1 {
				t.Fatalf("snapshots %v, error %v", snapshots, err)
			}
			if !c.snapshot {
				if err := os.RemoveAll(snapshots[0]); err != nil {
					t.Fatal(err)
				}
			}
			checkRecordedState(t, startRecordedReplica(t, dir))
		})
	}
}

// checkRecordedState compares the responses of a replica with the recorded ones.
func checkRecordedState(t *testing.T, s *Server) {
	t.Helper()
	waitFor(t, "the log is applied", func() bool { return s.Generation() == 7<<epochBits|15 })
	base := "http://" + s.Addr() + "/registry/"
	_, list := call(t, "GET", base+"instances", "")
	golden.Compare(t, "list", []byte(list), golden.Read(t, recordedFolder+"list.json"))
	var statuses strings.Builder
	for _, id := range []string{"s-old", "s-weight", "s-drained", "s-leased", "s-again", "s-late"} {
		_, text := call(t, "GET", base+"instances/"+id, "")
		statuses.WriteString(text)
	}
	golden.Compare(t, "instances", []byte(statuses.String()), golden.Read(t, recordedFolder+"standings.json"))
	_, backup := call(t, "GET", base+"backup", "")
	golden.Compare(t, "backup", []byte(backup), golden.Read(t, recordedFolder+"backup.json"))
	if m := startWatch(t, s.Addr(), 7<<epochBits|13).next(t); m.Generation != 7<<epochBits|14 || m.Snapshot {
		t.Errorf("the watch continues with %+v, want generation %d", m, uint64(7<<epochBits|14))
	}
	for path, want := range map[string]int{"s-expired/renew?incarnation=6": 409, "s-leased/renew?incarnation=5": 200} {
		if status, text := call(t, "POST", base+"instances/"+path, ""); status != want {
			t.Errorf("%s: %d %s, want %d", path, status, text, want)
		}
	}
	if status, text := call(t, "POST", base+"instances", registration("s-removed", 9003, 4, 0)); status != 409 {
		t.Errorf("registration of a removed incarnation: %d %s, want 409", status, text)
	}
	if status, text := call(t, "POST", base+"instances", registration("s-new", 9100, 1, 0)); status != 200 || s.Generation() != 7<<epochBits|16 {
		t.Errorf("registration of a new entry: %d %s, generation %d; want 200 and %d", status, text, s.Generation(), uint64(7<<epochBits|16))
	}
}

// startRecordedReplica starts a replica with the recorded data folder. It retries while another process uses
// the addresses.
func startRecordedReplica(t *testing.T, dir string) *Server {
	t.Helper()
	cfg := Config{Dir: dir, Listen: recordedListen, Raft: recordedRaft, Logger: slog.New(slog.DiscardHandler)}
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		s, err := Start(context.Background(), cfg)
		if err == nil {
			t.Cleanup(func() { _ = s.Close() })
			return s
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// unpack extracts an archive into a temporary folder and returns the path of the archive's only folder.
func unpack(t *testing.T, archive []byte) string {
	t.Helper()
	zipped, err := gzip.NewReader(bytes.NewReader(archive))
	if err != nil {
		t.Fatal(err)
	}
	root := t.TempDir()
	for files := tar.NewReader(zipped); ; {
		header, err := files.Next()
		if errors.Is(err, io.EOF) {
			return filepath.Join(root, "data")
		}
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(root, header.Name)
		if header.Typeflag == tar.TypeDir {
			err = os.MkdirAll(path, 0o700)
		} else {
			var text []byte
			if text, err = io.ReadAll(files); err == nil {
				err = os.WriteFile(path, text, 0o600)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}
