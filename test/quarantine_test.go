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
	poisonPrompt         = "offside-trap"
	bystanders           = 6
	maxWaves             = 40 // until the chat is quarantined
	wavesAfterQuarantine = 3  // after that
)

// outcome is what the caller of a chat was outcome.
type outcome struct {
	status          int
	verdict, reason string
}

// askChat sends a chat of one message through a router.
func askChat(r *process, text string) outcome {
	b, _ := json.Marshal(chat{Model: model, Messages: []message{{"user", text}}})
	req, _ := http.NewRequest(http.MethodPost, "http://"+r.addr+"/v1/chat/completions", bytes.NewReader(b))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	return outcome{resp.StatusCode, resp.Header.Get("Parsley-Verdict"), resp.Header.Get("Parsley-Reason")}
}

// restartCrashed starts upstreams anew whose process has ended, and returns how
// many those were.
func (f *fleet) restartCrashed(settings ...string) int {
	GinkgoHelper()
	crashed := 0
	for _, vm := range f.upstreams {
		if vm.upstream.session.ExitCode() < 0 {
			continue
		}
		crashed++
		args := append([]string{"--kind", "engine", "--listen", vm.upstream.addr, "--name", model}, settings...)
		vm.upstream = start(standinPath, vm.upstream.addr, args...)
	}
	return crashed
}

var _ = Describe("a chat that crashes engines", func() {
	// A coach's chat crashes the engine that runs it. The app sends it again at
	// once, three times through three entry VMs, wave after wave, while six other
	// chats run. Unless the fleet learns, each wave takes up to three engines,
	// and the six are cut off or refused for good.
	It("costs two engines, and no other chat is refused for it", func() {
		settings := []string{"--poison", poisonPrompt, "--tokens", "20", "--token-delay", "10ms"}
		f := newFleet()
		for range 4 {
			f.addUpstream("engine", "notes", settings...)
		}
		for range 3 {
			f.addRouter()
		}
		crashes := 0
		var last outcome
		wavesQuarantined := 0 // waves since
		for wave := 0; wavesQuarantined < wavesAfterQuarantine; wave++ {
			Expect(wave).To(BeNumerically("<", maxWaves), "still told %+v", last)
			var wg sync.WaitGroup
			replies := make([]outcome, bystanders)
			for i := range bystanders {
				wg.Go(func() { replies[i] = askChat(f.routers[i%3], fmt.Sprint("bystander ", i)) })
			}
			copies := 3
			if wave == 0 {
				copies = 1 // later ones come after an answer
			}
			for i := range copies {
				wg.Go(func() {
					if got := askChat(f.routers[i], poisonPrompt); i == 0 {
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
			crashes += f.restartCrashed(settings...)
			GinkgoWriter.Printf("wave %d: %+v, %d engines lost, others %+v\n", wave, last, crashes, replies)
			switch last.reason {
			case "quarantined":
				wavesQuarantined++
			case "suspect":
				time.Sleep(time.Second) // as Retry-After says
			}
		}
		Expect(crashes).To(Equal(2))
		Expect(last).To(Equal(outcome{http.StatusUnprocessableEntity, "not-run", "quarantined"}))
		// A router that starts now knows of it before any copy arrives.
		admin := freeAddr()
		f.addRouter("--admin-listen", admin)
		Eventually(func() []string {
			var states []string
			for _, q := range getJSON[adminapi.Status]("http://" + admin + adminapi.PathStatus).Quarantined {
				states = append(states, q.State)
			}
			return states
		}, waitTimeout, 50*time.Millisecond).Should(ConsistOf("convicted"))
		for i := range bystanders {
			Eventually(func() int { return askChat(f.routers[i%3], fmt.Sprint("bystander ", i)).status },
				waitTimeout, 100*time.Millisecond).Should(Equal(http.StatusOK))
		}
	})
})
