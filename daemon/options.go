// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"slices"
	"time"

	"cairnwick.example/settings"
)

// The names of the options of every daemon.
const (
	Box              = "box"
	DataCentre       = "data_centre"
	PeersListen      = "peers_listen"
	Advertise        = "advertise"
	Source           = "source"
	TLSCertificate   = "tls_certificate"
	TLSKey           = "tls_key"
	TLSAuthority     = "tls_authority"
	OperatorsListen  = "operators_listen"
	Platform         = "platform"
	Peers            = "peers"
	Heartbeat        = "heartbeat"
	HeartbeatTimeout = "heartbeat_timeout"
	SuspectFor       = "suspect_for"
	FreshFor         = "fresh_for"
	PauseLimit       = "pause_limit"
	Neighbours       = "neighbours"
	Watchers         = "watchers"
	Settle           = "settle"
	DrainLimit       = "drain_limit"
	Decisions        = "decisions"
	Debug            = "debug"

	EndpointDial = "endpoint_dial_timeout"
)

// Options returns the complete option table of a daemon: the common options, its own
// ones, and the dial timeout for endpoints.
func Options(own settings.Table) settings.Table {
	return slices.Concat(commonOptions, own, settings.Table{endpointDialOption})
}

var endpointDialOption = settings.Option{
	Name: EndpointDial, Kind: settings.Duration, Default: time.Second, Min: time.Millisecond,
	Help: "longest wait for a connection to an endpoint",
}

var commonOptions = settings.Table{
	{Name: Box, Kind: settings.Text, Required: true, Help: "name of the box, unique in the system"},
	{Name: DataCentre, Kind: settings.Text, Required: true, Help: "data centre where the box stands"},
	{Name: PeersListen, Kind: settings.Address, Required: true, Help: "address for the other daemons"},
	{Name: Advertise, Kind: settings.Text, Default: "", Help: "address that the other daemons reach it by, when it is not peers_listen"},
	{Name: Source, Kind: settings.Text, Default: "", Help: "IP number that connections are made from; empty: any"},
	{Name: TLSCertificate, Kind: settings.Text, Default: "", Help: "file with the certificate, PEM; empty: no TLS between daemons"},
	{Name: TLSKey, Kind: settings.Text, Default: "", Help: "file with the certificate's key, PEM"},
	{Name: TLSAuthority, Kind: settings.Text, Default: "", Help: "file with the authority of the other daemons' certificates, PEM"},
	{Name: OperatorsListen, Kind: settings.Address, Required: true, Help: "address for health, metrics and operators"},
	{Name: Platform, Kind: settings.URL, Required: true, Help: "the platform's key-value service"},
	{Name: Peers, Kind: settings.Text, Default: "", Help: "addresses of some other daemons, with commas, asked when the platform is down"},
	{Name: Heartbeat, Kind: settings.Duration, Default: time.Second, Min: 10 * time.Millisecond, Help: "time between heartbeats"},
	{Name: HeartbeatTimeout, Kind: settings.Duration, Default: 700 * time.Millisecond, Min: 10 * time.Millisecond, Help: "longest wait for a heartbeat's answer"},
	{Name: SuspectFor, Kind: settings.Duration, Default: 1500 * time.Millisecond, Min: 10 * time.Millisecond, Help: "a suspect that is silent so long is dead"},
	{Name: FreshFor, Kind: settings.Duration, Default: 3 * time.Second, Min: 10 * time.Millisecond, Help: "how long a heartbeat vouches for the view of the members"},
	{Name: PauseLimit, Kind: settings.Duration, Default: 2500 * time.Millisecond, Min: 10 * time.Millisecond, Help: "a longer gap between heartbeats is a pause of the process"},
	{Name: Neighbours, Kind: settings.Count, Default: 2, Min: 1, Help: "daemons that each heartbeat goes to"},
	{Name: Watchers, Kind: settings.Count, Default: 2, Min: 1, Help: "daemons of the data centre that watch the platform"},
	{Name: Settle, Kind: settings.Duration, Default: 3 * time.Second, Help: "how long a new configuration waits for a rival before it is in force"},
	{Name: DrainLimit, Kind: settings.Duration, Default: 10 * time.Minute, Help: "longest wait for running requests at a planned stop"},
	{Name: Decisions, Kind: settings.Count, Default: 4096, Min: 1, Help: "decisions remembered for operators"},
	{Name: Debug, Kind: settings.Bool, Default: false, Help: "log each refusal and each small event"},
}
