package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"rattanline.example/rattanline/setting"
)

// SettingsVariable names the environment variable that holds the path of a daemon's
// settings file on the platform.
const SettingsVariable = "RATTANLINE_CONFIG"

// SettingsFile returns the contents of the settings file that the platform gives to
// a daemon.
func SettingsFile(m setting.HostSettings) string {
	seeds := make([]string, len(m.Seeds))
	for i, s := range m.Seeds {
		seeds[i] = fmt.Sprintf("%q", s)
	}
	contracts := ""
	if m.BoundSlowReaders {
		contracts = `"base", "pressure"`
	}
	return fmt.Sprintf(`node_name = %q
ip = %q
zone = %q
seeds = [%s]
contracts = [%s]
[listen]
frontend = %q
ready = %q
control_plane = %q
directory = %q
[limits]
cpu_share = %g
cores = 1
memory_mb = %d
[bounds]
grace_s = %g
revoke_strict = %t
revoke_ms = %d
retry_budget_ratio = %g
retry_window_s = %g
retry_slack = %g
exposure_share = %g
exposure_slack = %g
rollback_ms = %d
ttl_max_s = %g
[platform]
address = %q
ttl_min_ms = %d
`, m.Name, m.IP, m.FailureDomain, strings.Join(seeds, ", "), contracts, m.FrontendAddress, m.ReadyAddress, m.LinkAddress, m.DirectoryAddress,
		m.Cores, m.MemoryMB, m.GraceTime.Seconds(), m.RevokeTime > 0, m.RevokeTime.Milliseconds(), m.RetryRatio, m.RetryWindow.Seconds(), m.RetrySlack, m.ExposureShare, m.ExposureSlack, m.RollbackTime.Milliseconds(),
		m.MaxAddressTTL.Seconds(), m.StoreAddress, m.MinLease.Milliseconds())
}

// ResolveHost queries the directory at the address for the addresses to which
// callers in a failure domain connect for the host name.
func ResolveHost(c *http.Client, address, host, domain string) ([]string, error) {
	query := url.Values{"name": {host}, "zone": {domain}}
	response, err := c.Get("http://" + address + "/-/resolve?" + query.Encode())
	if err != nil {
		return nil, fmt.Errorf("query directory: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("decode directory response: %w", err)
	}
	return answer.Addresses, nil
}

// CheckReady reports whether the daemon at the address is ready to accept callers.
func CheckReady(c *http.Client, address string) (bool, error) {
	response, err := c.Get("http://" + address + "/-/readyz")
	if err != nil {
		return false, fmt.Errorf("query daemon readiness: %w", err)
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK, nil
}
