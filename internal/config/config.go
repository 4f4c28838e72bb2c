// Package config reads the scheduler's configuration: the LB_* environment variables, the file that LB_CONFIG
// names, and the operator's file. It checks every value, sets defaults, and names the invalid key in its errors.
// It also converts the deployment's settings into the decision module's Config, for the real scheduler and for
// the simulator's adapter. The package keeps no state; the caller owns the values that it returns.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/vatu-meals/foxlift/internal/saturate"
)

// Bounds of the memory, in MiB, and the file descriptors of a scheduler. A larger limit in the file is reduced to
// the maximum, which also applies if the limit is 0 or missing; a smaller one than the minimum is an error.
const (
	maxMemoryMB    = 192
	maxDescriptors = 1024
	minMemoryMB    = 32
	minDescriptors = 64
)

// defaultName is the name of a scheduler without a configured name.
const defaultName = "foxlift"

// A Scheduler is the configuration of one scheduler, without the operator's file.
type Scheduler struct {
	Name            string
	Listen          string          // address:port for clients
	Admin           string          // address:port for operators' requests; "": none
	Discovery       string          // address:port of the discovery service
	Seed            uint64          // 0 if not configured
	MemoryMB        int             // limit on the memory in MiB
	MaxDescriptors  int             // limit on open file descriptors
	CachedEndpoints json.RawMessage // the cached endpoint list, encoded as discovery sends it; may be empty
	Settings        *Settings
	Peers           Peers // the zero value if the scheduler does not gossip
}

// Peers are the addresses to which schedulers send gossip datagrams.
type Peers struct {
	Listen    string   // address on which this scheduler receives; "": it does not gossip
	Addresses []string // address of every scheduler, by index; includes this scheduler
	Broadcast string   // address that reaches all other schedulers with one datagram; "": none
}

// A configFile is the JSON form of the file that LB_CONFIG names.
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

// Load reads the configuration at the start of a scheduler. getenv returns the value of an environment variable.
// A variable that is not empty takes precedence over the value in the file. Errors name the invalid key.
func Load(getenv func(string) string) (*Scheduler, error) { return read(getenv, false) }

// Reload reads the configuration again in a running scheduler. Unlike Load it prefers the file's discovery address
// to the variable's: only the file can have changed since the start.
func Reload(getenv func(string) string) (*Scheduler, error) { return read(getenv, true) }

// read reads and checks the configuration for Load and Reload.
func read(getenv func(string) string, reload bool) (*Scheduler, error) {
	file, err := readFile(getenv("LB_CONFIG"))
	if err != nil {
		return nil, err
	}
	s := &Scheduler{
		Name: file.Name, Listen: file.Listen, Admin: file.Admin, Discovery: file.Discovery, CachedEndpoints: file.Known,
	}
	s.override(getenv, reload)
	if s.Name == "" {
		s.Name = defaultName
	}
	if err := s.checkAddresses(); err != nil {
		return nil, err
	}
	if err := s.setLimits(file); err != nil {
		return nil, err
	}
	if err := s.setSettings(file.Settings); err != nil {
		return nil, err
	}
	return s, s.setPeers(file.PeerListen, file.Peers, file.PeersAll)
}

// readFile reads the configuration file. Its errors name LB_CONFIG.
func readFile(path string) (*configFile, error) {
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set; it must name the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	file := &configFile{}
	if err := json.Unmarshal(text, file); err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", keyError(err))
	}
	return file, nil
}

// override replaces values of the file by those of environment variables. On a reload the file's discovery
// address takes precedence.
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

// checkAddresses checks the addresses of clients, discovery and operators.
func (s *Scheduler) checkAddresses() error {
	if err := checkAddress("listen (LB_LISTEN)", s.Listen, 0); err != nil {
		return err
	}
	if err := checkAddress("discovery (LB_DISCOVERY)", s.Discovery, 1); err != nil {
		return err
	}
	return checkAdmin(s.Admin, s.Listen)
}

// setLimits sets the seed, the memory limit and the descriptor limit. A missing seed stays 0.
func (s *Scheduler) setLimits(file *configFile) (err error) {
	if file.Seed != "" {
		if s.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return fmt.Errorf("seed: %q is not a number of up to 16 hex digits", file.Seed)
		}
	}
	memoryMB := int(saturate.Int64(file.Limits.MemoryMB))
	s.MemoryMB, err = limitOrDefault("limits.memory_mb", memoryMB, minMemoryMB, maxMemoryMB)
	if err != nil {
		return err
	}
	s.MaxDescriptors, err = limitOrDefault("limits.sockets", file.Limits.Sockets, minDescriptors, maxDescriptors)
	return err
}

// setSettings parses and checks the settings. Its errors name the key within settings.
func (s *Scheduler) setSettings(raw json.RawMessage) (err error) {
	if len(raw) == 0 {
		return errors.New("settings: missing")
	}
	if s.Settings, err = ParseSettings(raw); err == nil {
		err = s.Settings.checkScheduler()
	}
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	return nil
}

// setPeers sets the peers' addresses if the settings allow gossip, a listen address is configured and there is
// another scheduler. Otherwise it disables gossip, so that no socket is opened for it.
func (s *Scheduler) setPeers(listen string, addresses []string, broadcast string) error {
	module := &s.Settings.Module
	module.MayGossip = module.MayGossip && listen != "" && module.Dispatchers > 1
	if !module.MayGossip {
		return nil
	}
	if err := checkAddress("peer_listen", listen, 0); err != nil {
		return err
	}
	if len(addresses) != module.Dispatchers {
		return fmt.Errorf("peers: %d addresses, want %d as in settings.balancers", len(addresses), module.Dispatchers)
	}
	for i, address := range addresses {
		if err := checkAddress(fmt.Sprintf("peers[%d]", i), address, 1); err != nil {
			return err
		}
	}
	if broadcast != "" {
		if err := checkAddress("peers_all", broadcast, 1); err != nil {
			return err
		}
	}
	s.Peers = Peers{listen, addresses, broadcast}
	return nil
}

// limitOrDefault returns a configured limit, reduced to the maximum; 0 means the maximum. A limit below the
// minimum is an error.
func limitOrDefault(key string, given, minimum, maximum int) (int, error) {
	if given == 0 {
		return maximum, nil
	}
	if given < minimum {
		return 0, fmt.Errorf("%s: %d is under the minimum of %d", key, given, minimum)
	}
	return min(given, maximum), nil
}

// checkAdmin checks the operators' address, if it is configured. It must differ from the clients' address unless
// the port is 0.
func checkAdmin(admin, listen string) error {
	const key = "admin (LB_ADMIN)"
	if admin == "" {
		return nil
	}
	if err := checkAddress(key, admin, 0); err != nil {
		return err
	}
	if _, port, _ := net.SplitHostPort(admin); admin == listen && port != "0" {
		return fmt.Errorf("%s: %q is also the listen address", key, admin)
	}
	return nil
}

// checkAddress checks that an address has the form address:port with a non-empty address and a port from minPort to
// 65535.
func checkAddress(key, address string, minPort int) error {
	if address == "" {
		return fmt.Errorf("%s: not set", key)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("%s: %q does not have the form address:port", key, address)
	}
	if n, err := strconv.Atoi(port); err != nil || n < minPort || n > 65535 {
		return fmt.Errorf("%s: %q does not have a port from %d to 65535", key, address, minPort)
	}
	return nil
}
