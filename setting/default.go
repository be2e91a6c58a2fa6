package setting

import "fmt"

// Defaults returns the settings with the defaults of the table and without
// those that have none, for daemons that are set up in Go.
func Defaults() (Settings, error) {
	var s Settings
	for _, r := range table {
		if err := r.apply(&s); err != nil {
			return Settings{}, fmt.Errorf("default of %s: %w", r.name, err)
		}
	}
	return s, nil
}
