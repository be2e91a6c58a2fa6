package setting

import "fmt"

// Defaults returns the default values of the table, for daemons that are configured
// in Go. Settings without a default have their zero value.
func Defaults() (Settings, error) {
	var s Settings
	for _, r := range table {
		if err := r.apply(&s); err != nil {
			return Settings{}, fmt.Errorf("default of %s: %w", r.name, err)
		}
	}
	return s, nil
}
