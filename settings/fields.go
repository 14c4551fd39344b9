package settings

import (
	"time"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// Field is the description of one setting, for documentation.
type Field struct {
	Key     string // "section.name"
	Unit    string // what the value counts or names
	Default string // "" for none, "required" where one must be given
	Range   string // what is allowed, in words
	Doc     string
}

// required takes the place of the default for a setting that must be given.
const required = "required"

// field is one row of the table of settings: its description and the accessor of
// its value in a Host. Exactly one of the accessors is set.
type field struct {
	key  string
	unit string
	doc  string

	text     func(*Host) *string
	textDef  string
	textRule tomlread.Text

	list     func(*Host) *[]string
	listRule tomlread.Text

	number               func(*Host) *int
	numDef, numLo, numHi int

	float                      func(*Host) *float64
	floatDef, floatLo, floatHi float64
	duration                   func(*Host) *time.Duration
	durDef, durLo, durHi       time.Duration

	secret func(*Host) *Secret
}

// fields is the table of all settings, with their defaults.
var fields = []field{
	{key: "host.id", unit: "name", doc: "Name of this host in logs and status, unique in the fleet.",
		text: func(h *Host) *string { return &h.Host.ID }, textDef: required, textRule: nameRule},
	{key: "host.data_centre", unit: "name", doc: "Data centre of this host.",
		text: func(h *Host) *string { return &h.Host.DataCentre }, textDef: required, textRule: nameRule},

	{key: "callers.listen", unit: "IP:port", doc: "Address for callers.",
		text: func(h *Host) *string { return &h.Callers.Listen }, textDef: "127.0.0.1:6432", textRule: listenRule},
	{key: "callers.tls_cert", unit: "PEM file", doc: "Certificate presented to callers. Without one, callers use plain TCP, which is allowed on loopback only.",
		text: func(h *Host) *string { return &h.Callers.TLSCert }, textRule: fileRule},
	{key: "callers.tls_key", unit: "PEM file", doc: "Private key of callers.tls_cert.",
		text: func(h *Host) *string { return &h.Callers.TLSKey }, textRule: fileRule},
	{key: "callers.max_connections", unit: "connections", doc: "Caller connections at once; more are refused.",
		number: func(h *Host) *int { return &h.Callers.MaxConnections }, numDef: 4096, numLo: 1, numHi: 60000},
	{key: "callers.startup_timeout", unit: "duration", doc: "Time for a caller to finish TLS and present its key.",
		duration: func(h *Host) *time.Duration { return &h.Callers.StartupTimeout }, durDef: 5 * time.Second, durLo: 100 * time.Millisecond, durHi: time.Minute},

	{key: "callers.idle_in_transaction", unit: "duration", doc: "Time that a transaction may be idle; it is rolled back then.",
		duration: func(h *Host) *time.Duration { return &h.Callers.IdleInTransaction }, durDef: 10 * time.Second, durLo: 100 * time.Millisecond, durHi: 14 * time.Second},
	{key: "peers.listen", unit: "IP:port", doc: "Address for other hosts.",
		text: func(h *Host) *string { return &h.Peers.Listen }, textDef: "127.0.0.1:7432", textRule: listenRule},
	{key: "peers.advertise", unit: "IP:port", doc: "Address that other hosts dial. Not set, it is peers.listen.",
		text: func(h *Host) *string { return &h.Peers.Advertise }, textRule: dialRule},
	{key: "peers.seeds", unit: "IP:port", doc: "Hosts to contact first, before the platform's list is read.",
		list: func(h *Host) *[]string { return &h.Peers.Seeds }, listRule: dialRule},
	{key: "peers.serving_hosts", unit: "hosts", doc: "Hosts that serve one database group in each data centre that holds its databases; the others relay sessions to them. The same on every host.",
		number: func(h *Host) *int { return &h.Peers.ServingHosts }, numDef: 8, numLo: 1, numHi: 64},
	{key: "peers.tls_cert", unit: "PEM file", doc: "Certificate presented to other hosts. Without one, hosts use plain TCP, which is allowed on loopback only.",
		text: func(h *Host) *string { return &h.Peers.TLSCert }, textRule: fileRule},
	{key: "peers.tls_key", unit: "PEM file", doc: "Private key of peers.tls_cert.",
		text: func(h *Host) *string { return &h.Peers.TLSKey }, textRule: fileRule},
	{key: "peers.tls_ca", unit: "PEM file", doc: "Authority that signs the certificate of every host.",
		text: func(h *Host) *string { return &h.Peers.TLSCA }, textRule: fileRule},

	{key: "platform.url", unit: "URL", doc: "Base URL of the platform's object API.",
		text: func(h *Host) *string { return &h.Platform.URL }, textDef: required, textRule: urlRule},
	{key: "platform.timeout", unit: "duration", doc: "Time for one call, waiting watches excepted.",
		duration: func(h *Host) *time.Duration { return &h.Platform.Timeout }, durDef: 2 * time.Second, durLo: 10 * time.Millisecond, durHi: time.Minute},
	{key: "platform.calls_per_second", unit: "calls per second", doc: "Calls that this host may make, waiting watches included.",
		float: func(h *Host) *float64 { return &h.Platform.CallsPerSecond }, floatDef: 20, floatLo: 0.1, floatHi: 2000},

	{key: "databases.user", unit: "name", doc: "Role that this host logs into databases with.",
		text: func(h *Host) *string { return &h.Databases.User }, textDef: required, textRule: textRule},
	{key: "databases.password", unit: "secret", doc: "Password of databases.user. It is never logged.",
		secret: func(h *Host) *Secret { return &h.Databases.Password }},
	{key: "databases.connect_timeout", unit: "duration", doc: "Time to open a connection and log in.",
		duration: func(h *Host) *time.Duration { return &h.Databases.ConnectTimeout }, durDef: 2 * time.Second, durLo: 10 * time.Millisecond, durHi: time.Minute},
	{key: "databases.max_conns_per_database", unit: "connections", doc: "Connections that this host holds to one database at most, within its share of the fleet's limit.",
		number: func(h *Host) *int { return &h.Databases.MaxConnsPerDatabase }, numDef: 16, numLo: 1, numHi: 10000},
	{key: "databases.probe_interval", unit: "duration", doc: "Time between status queries to each database.",
		duration: func(h *Host) *time.Duration { return &h.Databases.ProbeInterval }, durDef: 50 * time.Millisecond, durLo: 10 * time.Millisecond, durHi: time.Minute},
	{key: "databases.suspect_after", unit: "duration", doc: "Silence after which a database is suspected; longer than probe_interval.",
		duration: func(h *Host) *time.Duration { return &h.Databases.SuspectAfter }, durDef: 300 * time.Millisecond, durLo: 20 * time.Millisecond, durHi: 5 * time.Minute},
	{key: "databases.idle_probe_after", unit: "duration", doc: "Idle time after which a connection is probed before it is used.",
		duration: func(h *Host) *time.Duration { return &h.Databases.IdleProbeAfter }, durDef: 5 * time.Second, durLo: 10 * time.Millisecond, durHi: time.Hour},
	{key: "databases.idle_timeout", unit: "duration", doc: "Idle time after which a connection is closed.",
		duration: func(h *Host) *time.Duration { return &h.Databases.IdleTimeout }, durDef: 5 * time.Minute, durLo: time.Second, durHi: 24 * time.Hour},

	{key: "admin.listen", unit: "IP:port", doc: "Address of the operators' HTTP: status, drain, burn and metrics. It asks for no password: let only operators reach it.",
		text: func(h *Host) *string { return &h.Admin.Listen }, textDef: "127.0.0.1:8432", textRule: listenRule},

	{key: "log.level", unit: "word", doc: "Lowest level that is logged.",
		text: func(h *Host) *string { return &h.Log.Level }, textDef: "info", textRule: tomlread.OneOf("debug", "info", "warn", "error")},
	{key: "log.format", unit: "word", doc: "Form of a log line.",
		text: func(h *Host) *string { return &h.Log.Format }, textDef: "text", textRule: tomlread.OneOf("text", "json")},

	{key: "shutdown.grace", unit: "duration", doc: "Time that running requests and transactions get in a planned stop.",
		duration: func(h *Host) *time.Duration { return &h.Shutdown.Grace }, durDef: 30 * time.Second, durLo: 0, durHi: time.Hour},

	{key: "site.callers", unit: "IP:port", doc: "Address for callers of a site whose operator publishes routes. Where it is set, the host serves such a site, and the sections callers, peers and databases are ignored.",
		text: func(h *Host) *string { return &h.Site.Callers }, textRule: listenRule},
	{key: "site.ready", unit: "IP:port", doc: "Address of the platform's readiness probe.",
		text: func(h *Host) *string { return &h.Site.Ready }, textDef: "127.0.0.1:6460", textRule: listenRule},
	{key: "site.peers", unit: "IP:port", doc: "Address for the site's other hosts, TCP and UDP.",
		text: func(h *Host) *string { return &h.Site.Peers }, textDef: "127.0.0.1:6560", textRule: dialRule},
	{key: "site.access", unit: "IP:port", doc: "Address for statements that other hosts of the data centre send.",
		text: func(h *Host) *string { return &h.Site.Access }, textDef: "127.0.0.1:6561", textRule: dialRule},
	{key: "site.metrics", unit: "IP:port", doc: "Address of the metrics page; none where it is not set.",
		text: func(h *Host) *string { return &h.Site.Metrics }, textRule: listenRule},
	{key: "site.promotion_url", unit: "URL", doc: "Base URL of the platform's promotion calls.",
		text: func(h *Host) *string { return &h.Site.PromotionURL }, textRule: urlRule},
	{key: "site.data_centres", unit: "names", doc: "The site's data centres. Connections are divided among them until their hosts are known.",
		list: func(h *Host) *[]string { return &h.Site.DataCentres }, listRule: nameRule},
	{key: "site.max_callers", unit: "sessions", doc: "Sessions at once; more are refused. One customer may hold three quarters of those that the others leave free.",
		number: func(h *Host) *int { return &h.Site.MaxCallers }, numDef: 2000, numLo: 1, numHi: 60000},
	{key: "site.watch_wait", unit: "duration", doc: "Time that the store holds a watch open; half of the time within which a configuration is to be in force, or more if hosts exchange messages.",
		duration: func(h *Host) *time.Duration { return &h.Site.WatchWait }, durDef: 5 * time.Second, durLo: 100 * time.Millisecond, durHi: 30 * time.Second},
	{key: "site.memory_mb", unit: "MB", doc: "Memory that the process may use; the garbage collector runs more often near it. 0 for no limit.",
		number: func(h *Host) *int { return &h.Site.MemoryMB }, numDef: 0, numLo: 0, numHi: 1 << 20},
	{key: "site.caller_memory_mb", unit: "MB", doc: "Memory for callers' messages over 16 KiB and their session state; a message that finds none waits up to 2 s and is then refused as not run. At least 8 MB. 0 for a quarter of site.memory_mb, or 256 MB where that is not set.",
		number: func(h *Host) *int { return &h.Site.CallerMemoryMB }, numDef: 0, numLo: 0, numHi: 1 << 20},
	{key: "site.message_timeout", unit: "duration", doc: "Time for a caller's message from its first byte to its last; the connection is closed then.",
		duration: func(h *Host) *time.Duration { return &h.Site.MessageTimeout }, durDef: 30 * time.Second, durLo: 100 * time.Millisecond, durHi: time.Hour},
	{key: "site.database_drain", unit: "duration", doc: "Time for which a database that announces its shutdown may still be sent statements; they stop a second before its end.",
		duration: func(h *Host) *time.Duration { return &h.Site.DatabaseDrain }, durDef: 7 * time.Second, durLo: time.Second, durHi: time.Hour},
	{key: "site.cpu_share", unit: "cores", doc: "Processor time of this host. Hosts with more of it are preferred for running the statements of their data centre.",
		float: func(h *Host) *float64 { return &h.Site.CPUShare }, floatDef: 1, floatLo: 0.01, floatHi: 256},
	{key: "site.contracts", unit: "names", doc: "The platform's names of the terms in force. pressure: urgent statements go first, over all customers. health: databases are chosen by the expected time to their answer. places: data centres may be evacuated.",
		list: func(h *Host) *[]string { return &h.Site.Contracts }, listRule: textRule},
	{key: "site.evacuation", unit: "duration", doc: "Time after the request to evacuate a data centre from which no statement reaches a database there.",
		duration: func(h *Host) *time.Duration { return &h.Site.Evacuation }, durDef: 5 * time.Second, durLo: time.Second, durHi: time.Hour},
	{key: "site.cold_overage", unit: "factor", doc: "By how much the requests to a cold database may exceed its service's limit in one second, beside site.cold_slack.",
		float: func(h *Host) *float64 { return &h.Site.ColdOverage }, floatDef: 1, floatLo: 1, floatHi: 100},
	{key: "site.cold_slack", unit: "requests", doc: "Requests that a cold database may get in one second beyond its service's limit times site.cold_overage.",
		number: func(h *Host) *int { return &h.Site.ColdSlack }, numDef: 0, numLo: 0, numHi: 100000},
}
