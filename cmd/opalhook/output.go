package main

import (
	"encoding/json"
	"io"
	"text/tabwriter"
)

// writeJSON writes a result as indented JSON.
func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// writeTable aligns the tab-terminated cells of text in columns and writes them to out. Callers pass the
// complete text, so that this is the only place where write errors have to be handled.
func writeTable(out io.Writer, text string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(w, text); err != nil {
		return err
	}
	return w.Flush()
}
