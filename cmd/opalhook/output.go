package main

import (
	"encoding/json"
	"io"
	"text/tabwriter"
)

// writeJSON writes a result for a script.
func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// writeTable writes lines of cells that end in tabs, in columns. The text is written at once, so that an output that
// takes no more is seen here and nowhere else.
func writeTable(out io.Writer, text string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(w, text); err != nil {
		return err
	}
	return w.Flush()
}
