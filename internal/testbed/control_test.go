package testbed

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"

	"opalhook/internal/testnet"
)

// A running scenario accepts a fault by command and serves its metrics. It rejects an invalid fault with an
// error that names the field.
func TestFaultsByCommand(t *testing.T) {
	addr := testnet.FreeAddr(t)
	s := shortScenario("commanded")
	var errs []error
	injected := false
	onProgress := func(Progress) {
		if injected {
			return
		}
		injected = true
		for _, c := range []CommandedFault{{Kind: "slow", Target: 1, Size: 3, For: Duration(200 * ms)}, {Kind: "flood"}, {Kind: "slow", Target: 99, Size: 3}, {Kind: "cut-zone", Zone: "a"}} {
			_, err := InjectFault(t.Context(), addr, c)
			errs = append(errs, err)
		}
		resp, err := http.Get("http://" + addr + "/metrics")
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if text, _ := io.ReadAll(resp.Body); !strings.Contains(string(text), "opalhook_lab_tries_total{outcome=\"served\"}") {
			t.Errorf("no served attempts in the metrics: %.300s", text)
		}
	}
	r, err := Run(t.Context(), s, Options{
		Seed: 3, Binary: os.Args[0], Env: []string{standInEnv + "=correct"}, Dir: t.TempDir(), Control: addr,
		Log: slog.New(slog.DiscardHandler), OnProgress: onProgress,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(errs) != 4 || errs[0] != nil {
		t.Fatalf("errors of the commands: %v, want 4 with the first nil", errs)
	}
	for i, want := range []string{"", "fault.kind", "fault.target", "relays"} {
		if i > 0 && (errs[i] == nil || !strings.Contains(errs[i].Error(), want)) {
			t.Errorf("error %v does not contain %q", errs[i], want)
		}
	}
	if len(r.Marks) == 0 || r.Marks[0].Description != "slow 1" {
		t.Errorf("marks %v, want \"slow 1\" first", r.Marks)
	}
}
