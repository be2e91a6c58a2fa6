package edge

import (
	"reflect"

	"rattanline.example/rattanline/platform"
)

// reload reads the settings file again. Only the seeds take effect while the
// daemon runs; addresses stay those that it listens on. A file that can't be
// read changes nothing.
func (d *Daemon) reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		d.Logger.Error().Err(err).Msg("settings not reloaded")
		return
	}
	d.reloading.Lock()
	defer d.reloading.Unlock()
	if reflect.DeepEqual(s, d.loaded) {
		return
	}
	first := d.loaded.Name == ""
	d.loaded = s
	if first && reflect.DeepEqual(s, d.Settings) {
		return
	}
	d.exchange.SetSeeds(s.Seeds)
	d.Logger.Info().Strs("seeds", s.Seeds).Msg("settings reloaded")
}
