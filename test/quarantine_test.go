package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	adminapi "github.com/parsleyfront/parsleyfront/internal/admin"
)

const (
	poisonWord = "offside-trap"
	bystanders = 6
	maxWaves   = 40 // until the chat is quarantined
	moreWaves  = 3  // after that
)

// told is what the caller of a chat was told.
type told struct {
	status          int
	verdict, reason string
}

// askChat sends a chat of one message through a router.
func askChat(r *process, text string) told {
	b, _ := json.Marshal(chat{Model: model, Messages: []message{{"user", text}}})
	req, _ := http.NewRequest(http.MethodPost, "http://"+r.addr+"/v1/chat/completions", bytes.NewReader(b))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return told{}
	}
	defer resp.Body.Close()
	return told{resp.StatusCode, resp.Header.Get("Parsley-Verdict"), resp.Header.Get("Parsley-Reason")}
}

// replaceDead starts upstreams anew whose process has ended, and returns how
// many those were.
func (f *fleet) replaceDead(settings ...string) int {
	GinkgoHelper()
	dead := 0
	for _, vm := range f.upstreams {
		if vm.upstream.session.ExitCode() < 0 {
			continue
		}
		dead++
		args := append([]string{"--kind", "engine", "--listen", vm.upstream.addr, "--name", model}, settings...)
		vm.upstream = start(standinPath, vm.upstream.addr, args...)
	}
	return dead
}

var _ = Describe("a chat that crashes engines", func() {
	// A coach's chat crashes the engine that runs it. The app sends it again at
	// once, three times through three entry VMs, wave after wave, while six other
	// chats run. Unless the fleet learns, each wave takes up to three engines,
	// and the six are cut off or refused for good.
	It("costs two engines, and no other chat is refused for it", func() {
		settings := []string{"--poison", poisonWord, "--tokens", "20", "--token-delay", "10ms"}
		f := newFleet()
		for range 4 {
			f.addUpstream("engine", "notes", settings...)
		}
		for range 3 {
			f.addRouter()
		}
		lost := 0
		var last told
		quarantined := 0 // waves since
		for wave := 0; quarantined < moreWaves; wave++ {
			Expect(wave).To(BeNumerically("<", maxWaves), "still told %+v", last)
			var wg sync.WaitGroup
			replies := make([]told, bystanders)
			for i := range bystanders {
				wg.Go(func() { replies[i] = askChat(f.routers[i%3], fmt.Sprint("bystander ", i)) })
			}
			copies := 3
			if wave == 0 {
				copies = 1 // later ones come after an answer
			}
			for i := range copies {
				wg.Go(func() {
					if got := askChat(f.routers[i], poisonWord); i == 0 {
						last = got
					}
				})
			}
			wg.Wait()
			for _, o := range replies {
				Expect(o.reason).NotTo(Equal("quarantined"))
				if o.status != http.StatusOK {
					Expect(o.verdict).NotTo(BeEmpty(), "%+v", o)
				}
			}
			lost += f.replaceDead(settings...)
			GinkgoWriter.Printf("wave %d: %+v, %d engines lost, others %+v\n", wave, last, lost, replies)
			switch last.reason {
			case "quarantined":
				quarantined++
			case "suspect":
				time.Sleep(time.Second) // as Retry-After says
			}
		}
		Expect(lost).To(Equal(2))
		Expect(last).To(Equal(told{http.StatusUnprocessableEntity, "not-run", "quarantined"}))
		// A router that starts now knows of it before any copy arrives.
		admin := freeAddr()
		f.addRouter("--admin-listen", admin)
		Eventually(func() []string {
			var states []string
			for _, q := range reported[adminapi.Status]("http://" + admin + adminapi.PathStatus).Quarantined {
				states = append(states, q.State)
			}
			return states
		}, startWithin, 50*time.Millisecond).Should(ConsistOf("convicted"))
		for i := range bystanders {
			Eventually(func() int { return askChat(f.routers[i%3], fmt.Sprint("bystander ", i)).status },
				startWithin, 100*time.Millisecond).Should(Equal(http.StatusOK))
		}
	})
})
