package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/admin"
)

func sharesServer(t *testing.T, shares string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /shares", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(shares)) })
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against sums that count an organisation twice because one router knows only its hash, or its demand once for each
// router that tells it, and against the capacity
// of a router that knows only its own demand being taken for that of the pool.
func TestSharesAreMergedByPoolAndOrganisation(t *testing.T) {
	cutOff := sharesServer(t, `{"pools": [
		{"pool": "chat", "short": true, "capacity": 7, "used": 6, "complete": false, "classes": [
			{"organisation": "`+admin.OrganisationLabel(admin.OrganisationHash("bakery"))+`", "priority": 1, "rank": 0, "offered": 2, "fraction": 0.5, "refused": 3},
			{"organisation": "#0000000a", "rank": 2, "offered": 1, "fraction": 1, "refused": 0}]},
		{"pool": "booking", "capacity": 2, "used": 1, "complete": true, "classes": []}]}`)
	whole := sharesServer(t, `{"pools": [
		{"pool": "chat", "short": true, "capacity": 120, "used": 110, "complete": true, "classes": [
			{"organisation": "bakery", "priority": 1, "rank": 3, "offered": 8, "fraction": 0.05, "refused": 70},
			{"organisation": "bakery", "priority": 1, "rank": 0, "returning": true, "offered": 1, "fraction": 1, "refused": 0},
			{"organisation": "bakery", "priority": 1, "rank": 0, "offered": 4, "fraction": 0.75, "refused": 1},
			{"organisation": "", "priority": 1, "rank": 0, "offered": 30, "fraction": 1, "refused": 0}]}]}`)
	later := sharesServer(t, `{"pools": [{"pool": "chat", "short": false, "capacity": 130, "used": 60, "complete": true, "classes": []}]}`)
	var out, errOut bytes.Buffer
	if code := Run(context.Background(), []string{"shares", "-o", "json", cutOff, whole, later}, &out, &errOut); code != ExitOK {
		t.Fatalf("code %d: %s", code, errOut.String())
	}
	var list shareList
	if err := json.Unmarshal(out.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	if list.Routers != 3 || len(list.Pools) != 2 || list.Pools[0].Pool != "booking" {
		t.Fatalf("%s", out.String())
	}
	chat := list.Pools[1]
	if chat.Capacity != 120 || chat.Used != 110 || !chat.Complete || len(chat.Routers) != 3 || strings.Join(chat.ShortAt, " ") != cutOff+" "+whole {
		t.Errorf("%+v", chat)
	}
	if len(chat.Organisations) != 3 || chat.Organisations[1].Organisation != "" || chat.Organisations[2].Organisation != "#0000000a" {
		t.Fatalf("%s", out.String())
	}
	bakery := chat.Organisations[0]
	if bakery.Organisation != "bakery" || bakery.Priority != 1 || bakery.admission != (admission{Offered: 13, Refused: 74, MinFraction: 0.05, MaxFraction: 1}) {
		t.Errorf("%+v", bakery)
	}
	want := []classShares{
		{0, true, admission{1, 0, 1, 1}},
		{0, false, admission{4, 4, 0.5, 0.75}},
		{3, false, admission{8, 70, 0.05, 0.05}},
	}
	if len(bakery.Classes) != len(want) {
		t.Fatalf("%s", out.String())
	}
	for i, c := range bakery.Classes {
		if *c != want[i] {
			t.Errorf("class %d is %+v, want %+v", i, *c, want[i])
		}
	}
}

// Guards against a router that does not answer, or is of an earlier build without shares, being taken for one that refuses nothing.
func TestSharesNameRoutersWithoutAnswer(t *testing.T) {
	router := sharesServer(t, `{"pools": [{"pool": "chat", "capacity": 7, "used": 6, "classes": [
		{"organisation": "bakery", "rank": 1, "offered": 2, "fraction": 0.5, "refused": 3}, {"organisation": "", "rank": 1, "offered": 9, "fraction": 0.25}]}]}`)
	older := metricsServer(t, `{}`)
	var out, errOut bytes.Buffer
	if code := Run(context.Background(), []string{"shares", router, "127.0.0.1:1", older}, &out, &errOut); code != ExitFailed {
		t.Errorf("code %d", code)
	}
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, part := range []string{
		"chat 0 of 1 7.0 6.0 of a part of the routers", "chat bakery 0 1 false 2.0 0.50 3", "chat (others) 0 1 false 9.0 0.25 0",
		"127.0.0.1:1 no answer: ", older + " no answer: /shares: status 404",
	} {
		if !strings.Contains(text, part) {
			t.Errorf("no %q in\n%s", part, out.String())
		}
	}
	if !strings.Contains(errOut.String(), "2 of 3 routers did not answer") {
		t.Errorf("%s", errOut.String())
	}
}
