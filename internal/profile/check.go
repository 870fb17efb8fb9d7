package profile

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of field values. MaxMaxBody and MaxMaxUnavailable are those of the fields
// MaxBody and MaxUnavailable. The lengths of names are in bytes.
const (
	MaxPriority       = 100 // the lower bound is -MaxPriority
	MinDeadline       = Duration(10 * time.Millisecond)
	MaxDeadline       = Duration(24 * time.Hour)
	MaxLoadMultiple   = 10.0
	MaxQueue          = 100_000
	MinKeepAnswer     = Duration(10 * time.Second)
	MaxKeepAnswer     = Duration(24 * time.Hour)
	MaxMaxBody        = 8 * MiB // a frame is at most 16 MiB and must hold the body in base64
	MaxWeight         = 1000
	MaxConcurrency    = 1_000_000
	MaxMaxUnavailable = 0.5
	MaxVMName         = 64 // request keys contain the name and have the same bound
	MaxDomainName     = 128
	MaxModelName      = 128
	MaxAttempts       = 100
	MaxSlots          = 1_000_000
	MaxCacheTokens    = 1 << 40
	MaxWarmupRate     = 1e6 // requests a second
	MaxHeaderBytes    = 1 * MiB
	MaxIdleTime       = Duration(24 * time.Hour)
)

var (
	labelPattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	vmNamePattern     = regexp.MustCompile(`^[!-.0-~]+$`)              // printable, without space and slash
	domainNamePattern = regexp.MustCompile(`^[!-.0-~]+(/[!-.0-~]+)?$`) // with an optional region and a slash in front
	modelNamePattern  = regexp.MustCompile(`^[!-~]+$`)
	sha256Pattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Check returns all mistakes within an object. CheckReferences checks the objects
// that it refers to.
func Check(o Object) Problems {
	c := checker{object: o}
	o.check(&c)
	return c.problems
}

// checker collects the problems of one object.
type checker struct {
	object   Object
	problems Problems
}

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Ref: c.object.Ref(), Field: field, Message: fmt.Sprintf(format, args...)})
}

// checkLabel checks a name that is used in paths, metrics and command lines.
func (c *checker) checkLabel(field, value string) {
	switch {
	case value == "":
		c.add(field, "is missing: write a name such as halftime-notes")
	case !labelPattern.MatchString(value):
		c.add(field, "%q is not a name: write up to 63 of a-z, 0-9 and -, not - at either end", value)
	}
}

// checkRegions checks names of checkRegions, as they appear before the slash of failure domains.
func (c *checker) checkRegions(names []string) {
	for i, name := range names {
		field := fmt.Sprintf("regions[%d]", i)
		if len(name) > MaxDomainName || !vmNamePattern.MatchString(name) {
			c.add(field, "%q is not a region: write it as it stands before the slash of a failure domain", name)
		}
		if slices.Contains(names[:i], name) {
			c.add(field, "%q is there twice: remove one", name)
		}
	}
}

// checkRange checks that value is between least and most. The negated condition makes
// the check fail for NaN, too.
func checkRange[T int | float64](c *checker, field string, value, least, most T) {
	if !(value >= least && value <= most) {
		c.add(field, "%v is out of range: write %v to %v", value, least, most)
	}
}

func (c *checker) checkDuration(field string, value, least, most Duration) {
	if value < least || value > most {
		c.add(field, "%s is out of range: write %s to %s", value, least, most)
	}
}

func (p *Profile) check(c *checker) {
	c.checkLabel("name", p.Name)
	c.checkLabel("pool", p.Pool)
	p.checkTraffic(c)
	p.checkTimes(c)
	checkRange(c, "priority", p.Priority, -MaxPriority, MaxPriority)
	if !(p.LoadMultiple > 1 && p.LoadMultiple <= MaxLoadMultiple) {
		c.add("load_multiple", "%v is out of range: write more than 1 and at most %v; at 1 any upstream above the mean would refuse", p.LoadMultiple, MaxLoadMultiple)
	}
	p.Queue.check(c)
	checkRange(c, "retry_budget", p.RetryBudget, 0, 1)
	checkRange(c, "attempts", p.Attempts, 0, MaxAttempts)
	c.checkRegions(p.Regions)
	c.checkDuration("objective", p.Objective, 0, MaxDeadline)
	c.checkDuration("max_pause", p.MaxPause, 0, MaxDeadline)
	for i, s := range p.Split {
		field := fmt.Sprintf("split[%d]", i)
		c.checkLabel(field+".pool", s.Pool)
		checkRange(c, field+".weight", s.Weight, 0, MaxWeight)
	}
	if p.MaxBody < Byte || p.MaxBody > MaxMaxBody {
		c.add("max_body", "%s is out of range: write %s to %s", p.MaxBody, Byte, MaxMaxBody)
	}
}

// checkTraffic checks the fields that select the calls of the profile.
func (p *Profile) checkTraffic(c *checker) {
	switch {
	case p.isChosenByHost():
	case p.Model == "" && p.Service == "":
		c.add("model", "is missing: write model for chats, service for a plain service, or routes with a host")
	case p.Model != "" && p.Service != "":
		c.add("service", "stands beside model: a profile is for chats or for a plain service, so remove one of them")
	case p.Model != "":
		c.checkModel("model", p.Model)
	default:
		c.checkLabel("service", p.Service)
	}
	if len(p.Routes) > 0 && p.Service == "" && !p.isChosenByHost() {
		c.add("routes", "are for a plain service: write service, or remove routes")
	}
	for i, r := range p.Routes {
		r.check(c, fmt.Sprintf("routes[%d]", i))
	}
}

// isChosenByHost reports whether the profile is chosen by the host that callers name.
func (p *Profile) isChosenByHost() bool {
	return len(p.Routes) > 0 && p.Routes[0].Host != ""
}

func (c *checker) checkModel(field, value string) {
	if len(value) > MaxModelName || !modelNamePattern.MatchString(value) {
		c.add(field, "%q is not a name: write up to %d printable characters without spaces", value, MaxModelName)
	}
}

func (r Route) check(c *checker, field string) {
	if len(r.Methods) == 0 && r.Prefix == "" && r.Host == "" {
		c.add(field, "matches every call: write methods or prefix, or remove the route")
	}
	for i, m := range r.Methods {
		if !slices.Contains(methods, m) {
			c.add(fmt.Sprintf("%s.methods[%d]", field, i), "%q is not a method: write %s", m, strings.Join(methods, ", "))
		}
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		c.add(field+".prefix", "%q does not begin with a slash: write %q", r.Prefix, "/"+r.Prefix)
	}
}

func (p *Profile) checkTimes(c *checker) {
	if p.Deadline == 0 {
		c.add("deadline", "is missing: write how long a whole answer may take, such as 30s")
	} else {
		c.checkDuration("deadline", p.Deadline, MinDeadline, MaxDeadline)
		c.checkDuration("first_token", p.FirstToken, 0, p.Deadline)
	}
	c.checkDuration("keep_answer", p.KeepAnswer, MinKeepAnswer, MaxKeepAnswer)
	if p.HedgeAfter != 0 {
		p.checkHedge(c)
	}
}

// checkHedge checks that a hedge is safe, has a retry budget, and starts before the
// time limit of the first attempt.
func (p *Profile) checkHedge(c *checker) {
	limit, field := p.Deadline, "deadline"
	if p.FirstToken > 0 {
		limit, field = p.FirstToken, "first_token"
	}
	if limit > 0 && (p.HedgeAfter < 0 || p.HedgeAfter >= limit) {
		c.add("hedge_after", "%s is out of range: write less than %s, which is %s", p.HedgeAfter, field, limit)
	}
	if !p.Idempotent {
		c.add("hedge_after", "would run a call twice that is not idempotent: remove it, or write idempotent: true if repeating the call does no harm")
	}
	if p.RetryBudget == 0 {
		c.add("hedge_after", "is paid for by retry_budget, which is 0: write a budget such as 0.1, or remove hedge_after")
	}
}

func (q Queue) check(c *checker) {
	checkRange(c, "queue.per_upstream", q.PerUpstream, 1, MaxQueue)
	checkRange(c, "queue.per_organisation", q.PerOrganisation, 1, MaxQueue)
	if q.PerUpstream > 0 && q.PerOrganisation > q.PerUpstream {
		c.add("queue.per_organisation", "%d is over queue.per_upstream, which is %d: write at most that", q.PerOrganisation, q.PerUpstream)
	}
}

func (o *Organisation) check(c *checker) {
	c.checkLabel("name", o.Name)
	checkRange(c, "weight", o.Weight, 1, MaxWeight)
	checkRange(c, "concurrency", o.Concurrency, 0, MaxConcurrency)
	c.checkRegions(o.Regions)
	if len(o.Profiles) == 0 {
		c.add("profiles", "is missing: write the profiles that the organisation may use")
	}
	for i, name := range o.Profiles {
		field := fmt.Sprintf("profiles[%d]", i)
		if name != AllProfiles {
			c.checkLabel(field, name)
		}
		if slices.Contains(o.Profiles[:i], name) {
			c.add(field, "%q is there twice: remove one", name)
		}
	}
	o.checkKeys(c)
}

func (o *Organisation) checkKeys(c *checker) {
	for i, k := range o.Keys {
		field := fmt.Sprintf("keys[%d]", i)
		c.checkLabel(field+".id", k.ID)
		if !sha256Pattern.MatchString(k.SHA256) {
			// The value may be the key itself, so the message does not contain it.
			c.add(field+".sha256", "is not a hash: write the 64 hexadecimal digits that parsleyctl key prints, not the key")
		}
		for _, other := range o.Keys[:i] {
			if other.ID == k.ID {
				c.add(field+".id", "%q is there twice: give each key its own id", k.ID)
			}
			if other.SHA256 == k.SHA256 {
				c.add(field+".sha256", "is also that of key %q: remove one", other.ID)
			}
		}
	}
}

func (p *Pool) check(c *checker) {
	c.checkLabel("name", p.Name)
	switch p.Role {
	case EngineMixed, EnginePrefill, EngineDecode:
	default:
		c.add("role", "%q is not a role: write %s, %s or %s", p.Role, EngineMixed, EnginePrefill, EngineDecode)
	}
	if !(p.MaxUnavailable > 0 && p.MaxUnavailable <= MaxMaxUnavailable) {
		c.add("max_unavailable", "%v is out of range: write more than 0 and at most %v of the upstreams", p.MaxUnavailable, MaxMaxUnavailable)
	}
	checkRange(c, "connections", p.Connections, 0, MaxSlots)
	checkRange(c, "slots", p.Slots, 0, MaxSlots)
	checkRange(c, "cache_tokens", p.CacheTokens, 0, MaxCacheTokens)
	c.checkDuration("warmup", p.Warmup, 0, MaxDeadline)
	checkRange(c, "warmup_rate", p.WarmupRate, 0, MaxWarmupRate)
	if p.Model == "" {
		p.checkPlainService(c)
		return
	}
	c.checkModel("model", p.Model)
	if p.Version == "" {
		c.add("version", "is missing: write the version of model %q to load", p.Model)
	}
	for i, a := range p.Adapters {
		field := fmt.Sprintf("adapters[%d]", i)
		c.checkModel(field, a)
		if slices.Contains(p.Adapters[:i], a) {
			c.add(field, "%q is there twice: remove one", a)
		}
	}
}

// checkPlainService checks the pool of a plain service, whose upstreams load no model.
func (p *Pool) checkPlainService(c *checker) {
	if p.Version != "" {
		c.add("version", "stands without model: write model, or remove version")
	}
	if len(p.Adapters) > 0 {
		c.add("adapters", "stand without model: write model, or remove adapters")
	}
}

func (l *Limits) check(c *checker) {
	if l.Name != DefaultLimits {
		c.add("name", "%q is not %q: there is one object of this kind", l.Name, DefaultLimits)
	}
	if l.HeaderBytes < Byte || l.HeaderBytes > MaxHeaderBytes {
		c.add("header_bytes", "%s is out of range: write %s to %s", l.HeaderBytes, Byte, MaxHeaderBytes)
	}
	if l.BodyBytes < Byte || l.BodyBytes > MaxMaxBody {
		c.add("body_bytes", "%s is out of range: write %s to %s", l.BodyBytes, Byte, MaxMaxBody)
	}
	c.checkDuration("header_time", l.HeaderTime, MinDeadline, MaxIdleTime)
	c.checkDuration("idle_time", l.IdleTime, MinDeadline, MaxIdleTime)
}

func (d *DomainDrain) check(c *checker) {
	if len(d.Name) > MaxDomainName || !domainNamePattern.MatchString(d.Name) {
		c.add("name", "%q is not a failure domain: write it as in the platform's list, such as casablanca/hall-a", d.Name)
	}
}

func (d *Drain) check(c *checker) {
	if len(d.Name) > MaxVMName || !vmNamePattern.MatchString(d.Name) {
		c.add("name", "%q is not the id of a VM: write the id as in the platform's list", d.Name)
	}
}
