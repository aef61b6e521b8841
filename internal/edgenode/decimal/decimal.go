// Package decimal parses decimal numbers in headers and load reports. These come from other programs and may
// be malformed.
package decimal

import (
	"strconv"
	"strings"
)

// maxLength is the length of the longest text that [Parse] accepts, in bytes.
const maxLength = 20

// Parse parses a non-negative decimal number. It accepts digits and a decimal point, but no sign, exponent,
// hexadecimal digits or infinity. ok reports whether the text is such a number.
func Parse(text string) (x float64, ok bool) {
	if text == "" || len(text) > maxLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil
}
