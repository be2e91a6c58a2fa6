package edge

import (
	"reflect"

	"rattanline.example/rattanline/platform"
)

// reload reads the settings file again. Only changed seeds take effect while the
// daemon runs; listen addresses stay. A file that can't be read changes nothing.
func (d *Daemon) reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		d.Logger.Error().Err(err).Msg("settings not reloaded")
		return
	}
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	if reflect.DeepEqual(s, d.lastLoaded) {
		return
	}
	first := d.lastLoaded.Name == ""
	d.lastLoaded = s
	if first && reflect.DeepEqual(s, d.Settings) {
		return
	}
	d.exchange.SetSeeds(s.Seeds)
	d.Logger.Info().Strs("seeds", s.Seeds).Msg("settings reloaded")
}
