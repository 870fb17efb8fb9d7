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
	maxWaves             = 40 // limit of waves until the chat is quarantined
	wavesAfterQuarantine = 3  // waves sent after that
)

// outcome is what the caller of a chat received.
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

// restartCrashed restarts the upstreams whose process has exited, and returns their number.
func (f *fleet) restartCrashed(settings ...string) int {
	GinkgoHelper()
	crashed := 0
	for _, vm := range f.upstreams {
		if vm.upstream.session.ExitCode() < 0 {
			continue
		}
		crashed++
		GinkgoWriter.Printf("%s: engine exited with %d: %s\n", vm.id, vm.upstream.session.ExitCode(), vm.upstream.session.Err.Contents())
		args := append([]string{"--kind", "engine", "--listen", vm.upstream.addr, "--name", model}, settings...)
		vm.upstream = start(standinPath, vm.upstream.addr, args...)
	}
	return crashed
}

var _ = Describe("a chat that crashes engines", func() {
	// A chat crashes the engine that runs it. The caller repeats it at once, three times through
	// three routers, wave after wave, while six other chats run. Without quarantine across the
	// fleet, each wave crashes up to three engines, and the six other chats are cut off or rejected
	// for good.
	It("crashes two engines, and no other chat is quarantined", func() {
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
		wavesQuarantined := 0 // waves since the quarantine
		for wave := 0; wavesQuarantined < wavesAfterQuarantine; wave++ {
			Expect(wave).To(BeNumerically("<", maxWaves), "not quarantined, last outcome %+v", last)
			var wg sync.WaitGroup
			replies := make([]outcome, bystanders)
			for i := range bystanders {
				wg.Go(func() { replies[i] = askChat(f.routers[i%3], fmt.Sprint("bystander ", i)) })
			}
			copies := 3
			if wave == 0 {
				copies = 1 // later waves follow a response
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
			GinkgoWriter.Printf("wave %d: %+v, %d engines crashed, others %+v\n", wave, last, crashes, replies)
			switch last.reason {
			case "quarantined":
				wavesQuarantined++
			case "suspect":
				time.Sleep(time.Second) // the Retry-After of a suspect
			}
		}
		Expect(crashes).To(Equal(2))
		Expect(last).To(Equal(outcome{http.StatusUnprocessableEntity, "not-run", "quarantined"}))
		// A router that starts now learns of the conviction before any copy of the chat arrives.
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
