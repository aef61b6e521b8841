// Package decimal parses the numbers in headers, which come from other programs and may be malformed.
package decimal

import (
	"strconv"
	"strings"
)

// maxLength bounds the digits that [Parse] reads.
const maxLength = 20

// Parse parses a plain decimal number from 0: no sign, exponent, hex or infinity. It reports whether the text is one.
func Parse(text string) (x float64, ok bool) {
	if text == "" || len(text) > maxLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil
}
