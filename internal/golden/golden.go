// Package golden compares what a test has encoded with files that were recorded earlier. Test files alone import it.
//
// Golden files fix the formats in which the program stores data and exchanges messages. `go test PACKAGE -update`
// records them anew. A change of a format records new files in the commit that makes it, and says why; data that was
// stored in the earlier format must stay readable.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "record the golden files anew; the commit says why the format changes")

// Updating reports whether golden files are to be recorded anew.
func Updating() bool { return *update }

// around is the number of bytes shown before and after the first difference.
const around = 60

// Read returns a golden file of the package under test, by its name in testdata.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", filepath.FromSlash(name)))
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	return text
}

// Check reports any difference between got and the golden file, and returns the file. With -update it writes the file
// first.
func Check(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	if *update {
		path := filepath.Join("testdata", filepath.FromSlash(name))
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := Read(t, name)
	Same(t, name, got, want)
	return want
}

// Same reports the first difference between what was encoded and what is wanted.
func Same(t testing.TB, name string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	t.Errorf("%s: %d bytes, want %d; from byte %d on\ngot  %q\nwant %q", name, len(got), len(want), at, excerpt(got, at), excerpt(want, at))
}

func excerpt(text []byte, at int) []byte { return text[max(at-around, 0):min(at+around, len(text))] }
