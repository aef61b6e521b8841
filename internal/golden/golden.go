// Package golden compares the output of a test with golden files, which were recorded by an earlier run. Only
// test files import it.
//
// Golden files fix the formats in which the program stores data and exchanges messages. `go test PACKAGE
// -update` records them again. A commit that changes a format contains the new files and explains the change.
// Data stored in the earlier format must stay readable.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "record the golden files again; the commit has to explain why")

// Updating reports whether the test runs with -update and has to record golden files.
func Updating() bool { return *update }

// excerptMargin is the number of bytes that an error message shows before and after the first difference.
const excerptMargin = 60

// Read returns the contents of a golden file. The name is a slash-separated path below the package's folder
// testdata.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", filepath.FromSlash(name)))
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	return text
}

// Check compares got with a golden file, fails the test if they differ, and returns the contents of the file.
// With -update it first writes got to the file.
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
	Compare(t, name, got, want)
	return want
}

// Compare fails the test if got differs from want, and shows the first difference. The name identifies the
// data.
func Compare(t testing.TB, name string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	t.Errorf("%s: got %d bytes, want %d; first difference at byte %d\ngot  %q\nwant %q",
		name, len(got), len(want), at, excerpt(got, at), excerpt(want, at))
}

func excerpt(text []byte, at int) []byte {
	return text[max(at-excerptMargin, 0):min(at+excerptMargin, len(text))]
}
