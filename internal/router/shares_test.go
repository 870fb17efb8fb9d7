package router

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/shares"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Guards against a refusal in a short pool that does not say that the request has not run, or is counted under another
// cause than the caller hears.
func TestRefusalsOfShortPoolsAreCountedByCause(t *testing.T) {
	for cause, want := range map[shares.Cause]verdict.Reason{shares.CauseShare: verdict.ReasonOverShare, shares.CauseOrder: verdict.ReasonPoolShort} {
		before := shareRefusals.Value(cause)
		err := refuseForShares(cause, "chat")
		if err.Reason != want || err.Verdict != verdict.NotRun || !retry.Transient(err.Reason) {
			t.Errorf("%s: %v", cause, err)
		}
		if n := shareRefusals.Value(cause) - before; n != 1 {
			t.Errorf("%s: counted %d times", cause, n)
		}
	}
}

// Guards against a pool that is short without a line or a count, against one that counts as short for good, and
// against a line without figures because the capacity is infinite, which JSON cannot express.
func TestShortPoolIsAnnounced(t *testing.T) {
	var out bytes.Buffer
	former := slog.Default()
	slog.SetDefault(slog.New(slog.NewJSONHandler(&out, nil)))
	defer slog.SetDefault(former)
	for _, c := range []struct {
		short               bool
		capacity, used      float64
		wantCapacity, count float64
		msg, level          string
	}{
		{true, 120.04, 97, 120, 1, "pool is short", "WARN"},
		{false, math.Inf(1), 10, -1, 0, "pool is no longer short", "INFO"},
	} {
		out.Reset()
		announceShort("chat", c.short, c.capacity, c.used)
		var line map[string]any
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatalf("%s: %v", out.String(), err)
		}
		if line["msg"] != c.msg || line["level"] != c.level || line["pool"] != "chat" || line["capacity"] != c.wantCapacity || line["used"] != c.used {
			t.Errorf("%s", out.String())
		}
		if n := shortPools.Value(); float64(n) != c.count {
			t.Errorf("%s: %d short pools", c.msg, n)
		}
	}
}

// Guards against null in place of an empty list, which scripts cannot iterate over.
func TestSharesAreAnEmptyListWithoutPools(t *testing.T) {
	r := &Router{}
	r.view.Store(&View{})
	text, err := json.Marshal(r.Shares())
	if err != nil || string(text) != "[]" {
		t.Errorf("%s, %v", text, err)
	}
}
