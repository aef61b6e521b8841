package settings

import (
	"errors"
	"io"
	"testing"

	"opalhook/balancer"
)

// The error of a setting that the balancer rejects contains the platform's name of the setting.
func TestPlatformError(t *testing.T) {
	for _, c := range []struct {
		text  string
		field string
	}{
		{`{}`, "instances"},
		{`{"instances":2,"me":2}`, "me"},
		{`{"instances":1}`, "lanes"},
		{`{"instances":1,"lanes":[{"idempotency":"retryable"}],"rules":{"coldFrom":2}}`, "rules.coldFrom"},
		{`{"instances":1,"lanes":[{"idempotency":"retryable"}],"rules":{"fallMultiple":-1}}`, "rules.fallMultiple"},
		{`{"instances":1,"lanes":[{"idempotency":"retryable"}],"policyLimits":{"mostTries":-1}}`, "policyLimits.mostTries"},
		{`{"instances":1,"lanes":[{"idempotency":"retryable"}],"familyInfo":{"inboxPerS":-1}}`, "familyInfo.inboxPerS"},
		{`{"instances":1,"lanes":[{"idempotency":"retryable","onTime":-1}]}`, "onTime"},
		{`{"instances":1,"lanes":[{"idempotency":"retryable"}],"tariffs":[{"name":"p","neverOverRate":-1}]}`, "neverOverRate"},
	} {
		s, _, err := Parse([]byte(c.text))
		if err != nil {
			t.Fatalf("%s: %v", c.text, err)
		}
		_, err = balancer.New(s, 1)
		var got *balancer.SettingError
		if err = PlatformError(err); !errors.As(err, &got) || got.Field != c.field {
			t.Errorf("%s: error %v, want one for %s", c.text, err, c.field)
		}
	}
}

func TestPlatformErrorKeepsOtherErrors(t *testing.T) {
	if got := PlatformError(io.EOF); got != io.EOF { //nolint:errorlint // the error must be returned unchanged
		t.Errorf("error %v, want %v unchanged", got, io.EOF)
	}
	if got := PlatformError(nil); got != nil {
		t.Errorf("error %v, want nil", got)
	}
}
