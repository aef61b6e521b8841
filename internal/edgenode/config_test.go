package edgenode

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"testing"
)

// The descriptors for clients, for app servers and for everything else must not exceed the limit together.
func TestDescriptorLimits(t *testing.T) {
	for _, total := range []int{minSockets, 1024} {
		if c, s := maxClientConns(total), maxServerConns(total); c < 1 || s < c || c+s+reservedDescriptors > total {
			t.Errorf("%d descriptors: %d for clients, %d for app servers; want at least 1 for clients, "+
				"at least as many for app servers, and %d left", total, c, s, reservedDescriptors)
		}
	}
}

func TestConfigErrorsNameTheField(t *testing.T) {
	const settings = `{"instances":2,"me":1,"lanes":[{"name":"c","idempotency":"retryable"}],"policyLimits":{"peers":true}}`
	valid := map[string]string{
		"name": `"n1"`, "listen": `"127.0.0.1:1"`, "discovery": `"127.0.0.1:2"`, "seed": `"8c1f30d27a5be964"`,
		"limits": `{"memory_mb":192,"sockets":1024}`, "peer_listen": `"127.0.0.1:3"`, "peers": `["127.0.0.1:4","127.0.0.1:5"]`,
		"peers_all": `"127.0.0.1:6"`, "known": `{"generation":41,"reset":true,"instances":[]}`, "settings": settings,
	}
	// text returns the valid configuration with one field replaced, or left out if value is "".
	text := func(field, value string) []byte {
		var parts []string
		for f, v := range valid {
			if f == field {
				v = value
			}
			if v != "" {
				parts = append(parts, fmt.Sprintf("%q:%s", f, v))
			}
		}
		return []byte("{" + strings.Join(parts, ",") + "}")
	}
	noEnv := func(string) string { return "" }
	c, err := parseConfig(text("", ""), noEnv)
	if err != nil || c.Seed != 0x8c1f30d27a5be964 || c.CachedList.Generation != 41 || c.Settings.NodeIndex != 1 || len(c.Peers) != 2 || c.MemoryMB != 192 {
		t.Fatalf("valid configuration: %+v, error %v", c, err)
	}
	for _, b := range [][3]string{
		{"name", `""`, "name"},
		{"listen", `"nowhere"`, "listen"},
		{"discovery", "", "discovery"},
		{"seed", `"x"`, "seed"},
		{"limits", `{"sockets":9}`, "limits.sockets"},
		{"limits", `{"memory_mb":-1}`, "limits.memory_mb"},
		{"settings", "", "settings"},
		{"settings", `{"lanes":[{"idempotency":"odd"}]}`, "settings: lanes"},
		{"peer_listen", "", "peer_listen"},
		{"peers", `["127.0.0.1:4"]`, "peers"},
		{"peers", `["127.0.0.1:4","x"]`, "peers[1]"},
		{"peers_all", "", "peers_all"},
		{"known", `{"instances":1}`, "known: "},
	} {
		if _, err := parseConfig(text(b[0], b[1]), noEnv); err == nil || !strings.HasPrefix(err.Error(), b[2]) {
			t.Errorf("%s = %s: error %v, want one that begins with %s", b[0], b[1], err, b[2])
		}
	}
	if _, err := LoadConfig(noEnv); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Errorf("without PROXY_CONFIG: error %v", err)
	}
	if _, err := LoadConfig(func(string) string { return "/nonexistent" }); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a file: error %v, want %v", err, fs.ErrNotExist)
	}
	c, err = parseConfig(text("", ""), func(name string) string { return map[string]string{"PROXY_LISTEN": "127.0.0.1:9"}[name] })
	if err != nil || c.Listen.Port() != 9 {
		t.Errorf("PROXY_LISTEN: %v, error %v", c.Listen, err)
	}
}
