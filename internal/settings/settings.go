// Package settings defines the flags and environment variables of parsleyd. It checks all
// of them before anything starts and reports all errors together.
package settings

import "github.com/parsleyfront/parsleyfront/internal/secure"

// Daemon defines the command line of parsleyd, with a subcommand for each role.
type Daemon struct {
	Router  Router  `command:"router" description:"serve callers, in front of the sidecars"`
	Sidecar Sidecar `command:"sidecar" description:"serve routers, beside one upstream"`
	Entry   Entry   `command:"entry" description:"serve the callers of the operators' platform, in front of its upstreams"`
	Dev     Dev     `command:"dev" description:"run a small fleet with stand-ins in one process"`
}

// Common holds the settings of every role.
type Common struct {
	PrintSettings Switch   `long:"print-settings" optional:"yes" optional-value:"true" description:"print the settings with where each comes from, and end"`
	LogFormat     string   `long:"log-format" env:"PARSLEYD_LOG_FORMAT" default:"text" description:"text or json"`
	LogLevel      string   `long:"log-level" env:"PARSLEYD_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	TraceEndpoint URL      `long:"trace-endpoint" env:"PARSLEYD_TRACE_ENDPOINT" description:"URL of an OTLP collector over HTTP, such as http://10.0.0.9:4318/v1/traces; without it there are no traces"`
	TraceRatio    Ratio    `long:"trace-ratio" env:"PARSLEYD_TRACE_RATIO" default:"0.01" description:"share of traces to begin, from 0 to 1; a trace that a caller has begun keeps its decision"`
	StopTimeout   Duration `long:"stop-timeout" env:"PARSLEYD_STOP_TIMEOUT" default:"1h" description:"how long a planned stop waits for requests in flight"`
}

// Node holds the settings that identify and manage a router or sidecar of a fleet.
type Node struct {
	VM             string   `long:"vm" env:"PARSLEYD_VM" description:"this VM's id in the platform's list"`
	Region         string   `long:"region" env:"PARSLEYD_REGION" description:"region of this VM"`
	FailureDomain  string   `long:"failure-domain" env:"PARSLEYD_FAILURE_DOMAIN" description:"failure domain of this VM, as in the platform's list"`
	AdminTokenFile string   `long:"admin-token-file" env:"PARSLEYD_ADMIN_TOKEN_FILE" description:"file with the token that operators' requests must carry, the same at all routers; without it none is asked for"`
	ReloadInterval Duration `long:"reload-interval" env:"PARSLEYD_RELOAD_INTERVAL" default:"5s" description:"how often files of certificates, keys and secrets are looked at; a change is taken at the second look that finds it"`
}

// Fleet holds the settings for mutual authentication of routers and sidecars.
type Fleet struct {
	Cert          string `long:"fleet-cert" env:"PARSLEYD_FLEET_CERT" description:"PEM file of this process's certificate, which names its role and VM"`
	Key           string `long:"fleet-key" env:"PARSLEYD_FLEET_KEY" description:"PEM file of its key"`
	CA            string `long:"fleet-ca" env:"PARSLEYD_FLEET_CA" description:"PEM file of the authorities of the fleet"`
	TrustDomain   string `long:"trust-domain" env:"PARSLEYD_TRUST_DOMAIN" default:"parsleyfront" description:"trust domain of the SPIFFE ids in certificates"`
	InsecurePlain Switch `long:"insecure-plain" env:"PARSLEYD_INSECURE_PLAIN" optional:"yes" optional-value:"true" description:"connect routers and sidecars without TLS, for development on one machine"`
}

// Platform holds the address of the platform's API and its certificate authorities.
type Platform struct {
	URL URL    `long:"platform" env:"PARSLEYD_PLATFORM" description:"URL of the platform's API; a sidecar without it hands on no cached prefixes when its upstream leaves, and takes no orders"`
	CA  string `long:"platform-ca" env:"PARSLEYD_PLATFORM_CA" description:"PEM file of the authorities that sign the platform's certificate; without it those of the system count"`
}

// Router holds the settings of the router role.
type Router struct {
	Common   `group:"Process"`
	Node     `group:"Node"`
	Fleet    `group:"Fleet"`
	Platform `group:"Platform"`

	Listen       string `long:"listen" env:"PARSLEYD_LISTEN" default:"127.0.0.1:8080" description:"address for callers"`
	AdminListen  string `long:"admin-listen" env:"PARSLEYD_ADMIN_LISTEN" description:"address for operators, on the management network; without it there is none"`
	CallerCert   string `long:"caller-cert" env:"PARSLEYD_CALLER_CERT" description:"PEM file of the certificate that callers see; without it callers speak plain HTTP"`
	CallerKey    string `long:"caller-key" env:"PARSLEYD_CALLER_KEY" description:"PEM file of its key"`
	TokenSecrets string `long:"token-secrets" env:"PARSLEYD_TOKEN_SECRETS" description:"file of the secrets that sign request keys and tickets: id:hex on each line, the one to sign with first"`

	DrainDelay Duration `long:"drain-delay" env:"PARSLEYD_DRAIN_DELAY" default:"10s" description:"how long a planned stop goes on taking requests after readiness has begun to fail: longer than the balancer takes to notice"`

	MaxConnections Count `long:"max-connections" env:"PARSLEYD_MAX_CONNECTIONS" default:"12000" description:"callers' connections that are open at a time; of more, those that send nothing are closed, and the others wait to be accepted"`

	MaxCallerBytes Count `long:"max-caller-bytes" env:"PARSLEYD_MAX_CALLER_BYTES" default:"268435456" description:"bytes of what callers have sent and the router holds for them; what does not fit is refused"`

	Controller `group:"Controller"`
}

// Sidecar holds the settings of the sidecar role.
type Sidecar struct {
	Common   `group:"Process"`
	Node     `group:"Node"`
	Fleet    `group:"Fleet"`
	Platform `group:"Platform"`

	Listen      string `long:"listen" env:"PARSLEYD_LISTEN" default:"127.0.0.1:7400" description:"address for routers"`
	AdminListen string `long:"admin-listen" env:"PARSLEYD_ADMIN_LISTEN" description:"address for operators, on the management network; without it there is none"`
	Upstream    URL    `long:"upstream" env:"PARSLEYD_UPSTREAM" description:"URL of the upstream beside this sidecar"`

	Admission `group:"Admission"`
	Answers   `group:"Answers"`
}

// Controller holds the settings of the controller, the one router that gives orders to
// upstreams. They must be the same for all routers of a fleet.
type Controller struct {
	LeaseTTL           Duration `long:"lease-ttl" env:"PARSLEYD_LEASE_TTL" default:"15s" description:"how long another router waits until it takes over from one that has stopped giving orders"`
	WeightLoadInterval Duration `long:"weight-load-interval" env:"PARSLEYD_WEIGHT_LOAD_INTERVAL" default:"5s" description:"time between two loads of models that the weight store allows the whole fleet"`
}

// Admission holds the limits on requests that a sidecar admits to its upstream.
type Admission struct {
	Weight          Count `long:"weight" env:"PARSLEYD_WEIGHT" default:"1" description:"capacity of the upstream relative to others of its pool, as in the platform's list"`
	Slots           Count `long:"slots" env:"PARSLEYD_SLOTS" default:"32" description:"requests that run at the upstream at once"`
	Reserve         Count `long:"reserve" env:"PARSLEYD_RESERVE" default:"1" description:"slots kept for organisations under their share while several are active"`
	Headroom        Count `long:"headroom" env:"PARSLEYD_HEADROOM" default:"0" description:"requests beyond the slots that may pass running ones of lower priority; for upstreams that honour priorities"`
	MaxWaiting      Count `long:"max-waiting" env:"PARSLEYD_MAX_WAITING" default:"256" description:"requests that wait at most"`
	MaxWaitingBytes Count `long:"max-waiting-bytes" env:"PARSLEYD_MAX_WAITING_BYTES" default:"67108864" description:"bytes of the requests that wait at most"`
	Keys            Count `long:"keys" env:"PARSLEYD_KEYS" default:"65536" description:"request keys that are remembered"`
}

// Answers sets which responses a sidecar keeps and for how long.
type Answers struct {
	DetachGrace Duration `long:"detach-grace" env:"PARSLEYD_DETACH_GRACE" default:"15s" description:"how long a request goes on that nobody reads"`
	KeepAnswer  Duration `long:"keep-answer" env:"PARSLEYD_KEEP_ANSWER" default:"30s" description:"how long each answer is kept at least"`
	AnswerBytes Count    `long:"answer-bytes" env:"PARSLEYD_ANSWER_BYTES" default:"1048576" description:"bytes of one answer that are kept"`
	BufferBytes Count    `long:"buffer-bytes" env:"PARSLEYD_BUFFER_BYTES" default:"268435456" description:"bytes of all answers that are kept"`
}

// Entry holds the settings of a router on the operators' platform. Its addresses, VM and
// limits come from the platform's settings file.
type Entry struct {
	Common `group:"Process"`

	MetricsPort Count    `long:"metrics-port" env:"PARSLEYD_METRICS_PORT" default:"9464" description:"port of counters and histograms, on the address of this VM; 0 turns them off"`
	DrainDelay  Duration `long:"drain-delay" env:"PARSLEYD_DRAIN_DELAY" default:"2.7s" description:"how long a planned stop goes on taking requests after readiness has begun to fail: longer than the balancer takes to notice, which is two looks a second apart"`

	Without Mechanisms `long:"without" env:"PARSLEYD_WITHOUT" default:"" description:"mechanisms to switch off, separated by commas: to find out whether one does harm"`

	SharePools SharePools `long:"share-pools" env:"PARSLEYD_SHARE_POOLS" default:"auto" description:"whether organisations get shares of a pool that is too small for all of them: on, off, or auto: for all pools if the platform's settings list the contract pressure, else for pools whose engines report a slowdown"`
}

// SharePools sets which pools are shared by organisations while they are short.
type SharePools string

// Values of SharePools.
const (
	SharePoolsAuto SharePools = "auto" // as the platform's settings and the engines' reports say
	SharePoolsOn   SharePools = "on"   // all pools
	SharePoolsOff  SharePools = "off"  // none
)

// Dev holds the settings of dev mode.
type Dev struct {
	Common `group:"Process"`

	Listen      string `long:"listen" env:"PARSLEYD_LISTEN" default:"127.0.0.1:8080" description:"address for callers"`
	AdminListen string `long:"admin-listen" env:"PARSLEYD_ADMIN_LISTEN" default:"127.0.0.1:0" description:"address for operators"`
	Engines     Count  `long:"engines" env:"PARSLEYD_ENGINES" default:"3" description:"stand-in engines to run"`
	Key         Secret `long:"key" env:"PARSLEYD_KEY" default:"dev-key" description:"API key that callers use"`
}

// Identity returns the identity that the process's certificate must have in role.
func (n Node) Identity(role secure.Role) secure.Identity {
	return secure.Identity{Role: role, VM: n.VM}
}
