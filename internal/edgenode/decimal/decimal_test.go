package decimal

import "testing"

func TestParse(t *testing.T) {
	for _, c := range []struct {
		text string
		want float64
		ok   bool
	}{
		{"0", 0, true},
		{"2.5", 2.5, true},
		{".5", 0.5, true},
		{"12345678901234567890", 12345678901234567890, true},
		{"123456789012345678901", 0, false}, // too long
		{"", 0, false},
		{".", 0, false},
		{"1.2.3", 0, false},
		{"+1", 0, false},
		{"-1", 0, false},
		{"1e3", 0, false},
		{"0x10", 0, false},
		{"inf", 0, false},
		{" 1", 0, false},
	} {
		if x, ok := Parse(c.text); ok != c.ok || ok && x != c.want {
			t.Errorf("Parse(%q) = %v, %v, want %v, %v", c.text, x, ok, c.want, c.ok)
		}
	}
}
