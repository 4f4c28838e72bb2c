// Package config reads the scheduler's configuration: the LB_* variables, the file that LB_CONFIG names,
// and the operator's file. It checks every value, sets defaults, and names the faulty key in its errors.
// The deployment's settings become the decision module's Config here, for the real scheduler and for the
// simulator's adapter. It owns no state: what it returns is the caller's.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
)

// Bounds of what a scheduler may use, whatever it is offered.
const (
	maxMemoryMB    = 192
	maxDescriptors = 1024
	minMemoryMB    = 32
	minDescriptors = 64
)

// defaultName is the name of a scheduler that is given none.
const defaultName = "foxlift"

// A Scheduler is the whole configuration of one scheduler.
type Scheduler struct {
	Name            string
	Listen          string // address:port for clients
	Admin           string // address:port for the operators' requests; "": none
	Discovery       string // address:port of discovery
	Seed            uint64
	MemoryMB        int
	MaxDescriptors  int             // file descriptors
	CachedEndpoints json.RawMessage // the cached endpoint list, in discovery's form; may be empty
	Settings        *Settings
	Peers           Peers // the zero value where schedulers do not gossip
}

// Peers are the addresses by which schedulers gossip in datagrams.
type Peers struct {
	Listen    string   // where this one receives; "": it does not gossip
	Addresses []string // of every scheduler by its index, this one's included
	Broadcast string   // reaches all others at once; "": there is no such address
}

// A configFile is the file that LB_CONFIG names.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Admin     string `json:"admin"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`

	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration from the environment that getenv shows. A variable takes precedence over
// the file's value of the same name.
func Load(getenv func(string) string) (*Scheduler, error) { return read(getenv, false) }

// Reload reads it again at a running scheduler. What has changed since the start is the file: its
// discovery takes precedence over the variable.
func Reload(getenv func(string) string) (*Scheduler, error) { return read(getenv, true) }

func read(getenv func(string) string, reload bool) (*Scheduler, error) {
	f, err := readFile(getenv("LB_CONFIG"))
	if err != nil {
		return nil, err
	}
	s := &Scheduler{Name: f.Name, Listen: f.Listen, Admin: f.Admin, Discovery: f.Discovery, CachedEndpoints: f.Known}
	s.override(getenv, reload)
	if s.Name == "" {
		s.Name = defaultName
	}
	if err := s.checkAddresses(); err != nil {
		return nil, err
	}
	if err := s.setLimits(f); err != nil {
		return nil, err
	}
	if err := s.setSettings(f.Settings); err != nil {
		return nil, err
	}
	return s, s.setPeers(f.PeerListen, f.Peers, f.PeersAll)
}

func readFile(path string) (*configFile, error) {
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	f := &configFile{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", keyError(err))
	}
	return f, nil
}

// override sets the values that variables give.
func (s *Scheduler) override(getenv func(string) string, reload bool) {
	for _, variable := range []struct {
		key   string
		value *string
	}{
		{"LB_NAME", &s.Name}, {"LB_LISTEN", &s.Listen}, {"LB_ADMIN", &s.Admin}, {"LB_DISCOVERY", &s.Discovery},
	} {
		fileFirst := reload && variable.value == &s.Discovery
		if fileFirst && *variable.value != "" {
			continue
		}
		if given := getenv(variable.key); given != "" {
			*variable.value = given
		}
	}
}

func (s *Scheduler) checkAddresses() error {
	if err := checkAddress("listen (LB_LISTEN)", s.Listen, 0); err != nil {
		return err
	}
	if err := checkAddress("discovery (LB_DISCOVERY)", s.Discovery, 1); err != nil {
		return err
	}
	return checkAdmin(s.Admin, s.Listen)
}

// setLimits sets the seed and what the scheduler may use.
func (s *Scheduler) setLimits(f *configFile) (err error) {
	if f.Seed != "" {
		if s.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
		}
	}
	s.MemoryMB, err = limitOrDefault("limits.memory_mb", int(f.Limits.MemoryMB), minMemoryMB, maxMemoryMB)
	if err != nil {
		return err
	}
	s.MaxDescriptors, err = limitOrDefault("limits.sockets", f.Limits.Sockets, minDescriptors, maxDescriptors)
	return err
}

func (s *Scheduler) setSettings(raw json.RawMessage) (err error) {
	if len(raw) == 0 {
		return errors.New("settings: not given")
	}
	if s.Settings, err = ParseSettings(raw); err == nil {
		err = s.Settings.checkScheduler()
	}
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	return nil
}

// setPeers sets the peers' addresses where the settings allow gossip and there is another scheduler.
// Elsewhere nothing is opened for it.
func (s *Scheduler) setPeers(listen string, each []string, all string) error {
	c := &s.Settings.Module
	c.MayGossip = c.MayGossip && listen != "" && c.Dispatchers > 1
	if !c.MayGossip {
		return nil
	}
	if err := checkAddress("peer_listen", listen, 0); err != nil {
		return err
	}
	if len(each) != c.Dispatchers {
		return fmt.Errorf("peers: %d addresses for settings.balancers %d", len(each), c.Dispatchers)
	}
	for i, addr := range each {
		if err := checkAddress(fmt.Sprintf("peers[%d]", i), addr, 1); err != nil {
			return err
		}
	}
	if all != "" {
		if err := checkAddress("peers_all", all, 1); err != nil {
			return err
		}
	}
	s.Peers = Peers{listen, each, all}
	return nil
}

// limitOrDefault returns a limit that is given, within its bounds, or else its maximum.
func limitOrDefault(key string, given, minimum, maximum int) (int, error) {
	if given == 0 {
		return maximum, nil
	}
	if given < minimum {
		return 0, fmt.Errorf("%s: %d is under %d", key, given, minimum)
	}
	return min(given, maximum), nil
}

// checkAdmin checks the operators' address, where there is one: it must not be the clients'.
func checkAdmin(admin, listen string) error {
	const key = "admin (LB_ADMIN)"
	if admin == "" {
		return nil
	}
	if err := checkAddress(key, admin, 0); err != nil {
		return err
	}
	if _, port, _ := net.SplitHostPort(admin); admin == listen && port != "0" {
		return fmt.Errorf("%s: %q is the address of listen too", key, admin)
	}
	return nil
}

// checkAddress checks an address:port.
func checkAddress(key, s string, minPort int) error {
	if s == "" {
		return fmt.Errorf("%s: not given", key)
	}
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return fmt.Errorf("%s: %q is not address:port", key, s)
	}
	if n, err := strconv.Atoi(port); err != nil || n < minPort || n > 65535 {
		return fmt.Errorf("%s: %q has no port from %d to 65535", key, s, minPort)
	}
	return nil
}
