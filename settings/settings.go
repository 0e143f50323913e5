package settings

import (
	"time"

	"github.com/cumincove/cumincove/config"
)

// Settings is the daemon's settings file.
type Settings struct {
	// Name is this instance's name, unique within the system.
	Name string `json:"name" format:"name" required:"true"`
	// DataCentre is the data centre in which this instance runs.
	DataCentre string `json:"data_centre" format:"name" required:"true"`
	// Listen contains the addresses to listen on.
	Listen Listen `json:"listen"`
	// TLS configures the encryption of connections.
	TLS TLS `json:"tls"`
	// Platform contains the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Operators configures access to the operators' address.
	Operators Operators `json:"operators"`
	// Limits bounds the resources that callers and the process may use.
	Limits Limits `json:"limits"`
	// Timing contains periods, lifetimes and timeouts.
	Timing Timing `json:"timing"`
}

// Listen contains the addresses to listen on, each an IP address and port.
type Listen struct {
	// Callers is the address at which callers and trainers connect.
	Callers string `json:"callers" format:"addr" required:"true"`
	// Peers is the address at which other instances connect.
	Peers string `json:"peers" format:"addr" required:"true"`
	// AdvertisePeers is the address that is sent to other instances if they can't
	// reach Peers itself: behind a relay, or if Peers is a wildcard address.
	AdvertisePeers string `json:"advertise_peers,omitempty" format:"addr"`
	// Operators is the address at which operators and monitoring connect.
	Operators string `json:"operators" format:"addr" required:"true"`
	// Readiness is the address at which a managed platform queries whether this
	// instance is ready.
	Readiness string `json:"readiness,omitempty" format:"addr"`
	// Entries is the address at which callers of a managed platform query which
	// addresses to use.
	Entries string `json:"entries,omitempty" format:"addr"`
	// AllowUnencrypted allows peers and operators to connect without encryption
	// at addresses that are not loopback addresses. Anyone who can reach these
	// addresses can then read and change everything.
	AllowUnencrypted bool `json:"allow_unencrypted_peers_and_operators,omitempty"`
}

// TLS configures the encryption of connections. Files are reloaded when they
// change.
type TLS struct {
	// Callers configures TLS for connections from callers.
	Callers TLSFiles `json:"callers"`
	// Peers configures TLS for connections between instances, in both directions.
	Peers TLSFiles `json:"peers"`
	// Operators configures TLS for connections from operators and monitoring.
	Operators TLSFiles `json:"operators"`
}

// TLSFiles names the PEM files for one kind of connection. Without a
// certificate, connections are not encrypted.
type TLSFiles struct {
	// CertFile contains this instance's certificate, issued for its IP address.
	CertFile string `json:"cert_file,omitempty"`
	// KeyFile contains the certificate's private key.
	KeyFile string `json:"key_file,omitempty"`
	// CAFile contains the certificates of the authorities, one of which must
	// have signed the certificate that the remote end presents. It is required
	// for peers and operators.
	CAFile string `json:"ca_file,omitempty"`
}

// Platform contains the addresses of the platform's services.
type Platform struct {
	// Kind is "managed" for a platform whose operators write the configuration
	// to its store, and whose endpoints register there themselves. Empty means
	// a platform that is configured through this system's own operators'
	// interface.
	Kind string `json:"kind,omitempty" format:"kind"`
	// DutiesURL is the base URL of a managed platform's interface for usage
	// reports.
	DutiesURL string `json:"duties_url,omitempty" format:"url"`
	// URL is the base URL of the platform's HTTP interface.
	URL string `json:"url" format:"url" required:"true"`
	// TokenEnv names the environment variable that contains the token to send to
	// the platform. Empty means no token.
	TokenEnv string `json:"token_env,omitempty" format:"env"`
}

// Operators configures access to the operators' address.
type Operators struct {
	// TokenEnv names the environment variable that contains the operators'
	// token. Empty means that no token is required.
	TokenEnv string `json:"token_env,omitempty" format:"env"`
}

// Limits bounds the resources that callers and the process may use.
type Limits struct {
	// HeaderBytes bounds the size of a request's header, in bytes.
	HeaderBytes int `json:"header_bytes" unit:"bytes" min:"1024" max:"1048576"`
	// BodyBytes bounds the size of a request's body, in bytes.
	BodyBytes int64 `json:"body_bytes" unit:"bytes" min:"1024" max:"1073741824"`
	// AnswerBytes bounds the size of an answer's body, including streams, in bytes.
	AnswerBytes int64 `json:"answer_bytes" unit:"bytes" min:"65536" max:"1099511627776"`
	// Connections bounds the number of open connections from callers; it does not
	// apply to other instances and operators. The limit on descriptors and memory_mb
	// may lower it: three eighths of the descriptors may be used for them, and an eighth
	// of the memory, at 80 KB each. The largest part of that is what the kernel keeps of
	// what a connection has received and nobody has read.
	Connections int `json:"connections" unit:"connections" min:"1" max:"1000000"`
	// Descriptors is the number of descriptors that the machine provides to the
	// program, from which the limits on connections follow. Of them 200 are reserved
	// for files. A lower limit of the process replaces it, and zero means that limit
	// alone. The flag --descriptors replaces the setting.
	Descriptors int `json:"descriptors,omitempty" unit:"descriptors" min:"0" max:"10000000"`
	// InFlight bounds the number of requests in flight at this instance.
	InFlight int `json:"in_flight" unit:"requests" min:"1" max:"1000000"`
	// StoreCalls bounds the calls per second to a managed platform's store.
	// Calls above the limit wait; a burst may contain twice as many.
	StoreCalls int `json:"store_calls" unit:"calls" min:"10" max:"100000"`
	// RequestTime bounds the duration of a request from its arrival to its last byte.
	RequestTime config.Duration `json:"request_time" min:"1s" max:"24h"`
	// Processors bounds the number of processors that the program uses at the
	// same time. Each additional processor costs memory, and processor time
	// under low load. A value above the machine's number of processors means all
	// of them.
	Processors int `json:"processors" unit:"processors" min:"1" max:"1024"`
	// ProcessorShare is the processor time that the machine provides to the
	// program, as a number of processors. Callers, steps and duties are assigned
	// to the instances with the largest shares. Zero counts as one processor.
	ProcessorShare float64 `json:"processor_share,omitempty" unit:"processors" min:"0" max:"1024"`
	// MemoryMB is the memory that the process may use, in MB. The program
	// collects garbage more often as its memory use approaches this limit. Zero
	// means that no limit is known.
	MemoryMB int `json:"memory_mb,omitempty" unit:"MB" min:"0" max:"1048576"`
	// RequestMemoryMB bounds the memory for what is read from clients: heads and
	// bodies that are not complete yet, and bodies of requests that wait or run, in
	// MB. What does not fit is refused. A single request within the other limits is
	// always served if there is no other large one. Zero means half of what memory_mb, or a lower limit of the
	// process, leaves to the program: ordinary requests need far less, and the other
	// half is for buffers that were replaced by larger ones. If no limit is known,
	// zero means 1024 MB.
	RequestMemoryMB int `json:"request_memory_mb,omitempty" unit:"MB" min:"0" max:"1048576"`
	// BodyRate is the average rate at which a caller must send a body, in bytes per
	// second, after a first 30 seconds. The default is below the rate of thin links.
	BodyRate int64 `json:"body_rate" unit:"bytes/s" min:"1" max:"1073741824"`
}

// Timing contains periods, lifetimes and timeouts.
type Timing struct {
	// LeaseDuration is how long a lease is valid after its last renewal.
	LeaseDuration config.Duration `json:"lease_duration" min:"1s" max:"5m"`
	// Freshness is how long evidence that the configuration's version is current
	// remains valid.
	Freshness config.Duration `json:"freshness" min:"200ms" max:"1m"`
	// Gossip is the period between two gossip exchanges with a peer.
	Gossip config.Duration `json:"gossip" min:"10ms" max:"10s"`
	// StorePoll is the period between two reads of the configuration's
	// version.
	StorePoll config.Duration `json:"store_poll" min:"50ms" max:"30s"`
	// UsageWindow is the length of a usage window.
	UsageWindow config.Duration `json:"usage_window" min:"1s" max:"24h"`
	// UsageFlush is the period between two writes of an instance's usage. A crash
	// may lose the usage of one such period.
	UsageFlush config.Duration `json:"usage_flush" min:"100ms" max:"1m"`
	// UsageGrace is the time between the end of a usage window of a managed
	// platform and its sealing, so that all instances have written their usage.
	UsageGrace config.Duration `json:"usage_grace" min:"1s" max:"1h"`
	// MemberPeriod is the time between two heartbeats of an instance of a managed
	// platform.
	MemberPeriod config.Duration `json:"member_period" min:"100ms" max:"1m"`
	// MemberLapse is the time without a heartbeat of an instance of a managed
	// platform after which the other instances continue without it.
	MemberLapse config.Duration `json:"member_lapse" min:"500ms" max:"10m"`
	// Shutdown bounds a graceful shutdown on a managed platform.
	Shutdown config.Duration `json:"shutdown" min:"1s" max:"1h"`
	// EntriesKeep is how long callers may keep a response from /v1/entries.
	EntriesKeep config.Duration `json:"entries_keep" min:"1s" max:"10m"`
	// DedupKeep is the minimum time for which the IDs of requests to deduplicated
	// services are stored. It should be longer than limits.request_time.
	DedupKeep config.Duration `json:"dedup_keep" min:"1s" max:"24h"`
	// FirstByte bounds the wait for the first byte of an endpoint's answer. After it
	// another endpoint is tried. A request that can't be sent again waits until its
	// deadline, as long as its endpoint is registered.
	FirstByte config.Duration `json:"first_byte" min:"10ms" max:"1h"`
	// Idle bounds the wait between two parts of an endpoint's answer, as FirstByte does
	// before it.
	Idle config.Duration `json:"idle" min:"10ms" max:"1h"`
}

// Default returns the settings that apply where a file sets nothing else.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes: 64 << 10,
			BodyBytes:   8 << 20,
			AnswerBytes: 64 << 20,
			Connections: 10_000,
			InFlight:    4_000,
			StoreCalls:  150,
			RequestTime: config.Duration(5 * time.Minute),
			Processors:  4,
			BodyRate:    16 << 10,
		},
		Timing: Timing{
			LeaseDuration: config.Duration(5 * time.Second),
			Freshness:     config.Duration(2500 * time.Millisecond),
			Gossip:        config.Duration(250 * time.Millisecond),
			StorePoll:     config.Duration(500 * time.Millisecond),
			UsageWindow:   config.Duration(time.Minute),
			UsageFlush:    config.Duration(2 * time.Second),
			UsageGrace:    config.Duration(3 * time.Second),
			MemberPeriod:  config.Duration(time.Second),
			MemberLapse:   config.Duration(4 * time.Second),
			Shutdown:      config.Duration(4500 * time.Millisecond),
			EntriesKeep:   config.Duration(30 * time.Second),
			DedupKeep:     config.Duration(15 * time.Minute),
			FirstByte:     config.Duration(30 * time.Second),
			Idle:          config.Duration(15 * time.Second),
		},
	}
}
