package settings

import "reflect"

// ChangedKeys returns the keys in which two settings differ.
func ChangedKeys[T any](before, after T) []string {
	var changed []string
	values := settingsOf(&after)
	for i, setting := range settingsOf(&before) {
		if !sameValue(setting, values[i]) {
			changed = append(changed, setting.key)
		}
	}
	return changed
}

// LiveKeys returns the settings before with those of the ones after that can
// take effect at once, and the keys that need a restart.
func LiveKeys[T any](before, after T) (applied T, restartOnly []string) {
	applied = before
	values := settingsOf(&after)
	for i, setting := range settingsOf(&applied) {
		switch {
		case sameValue(setting, values[i]):
		case setting.live:
			setting.value.Set(values[i].value)
		default:
			restartOnly = append(restartOnly, setting.key)
		}
	}
	return applied, restartOnly
}

func sameValue(a, b setting) bool {
	return reflect.DeepEqual(a.value.Interface(), b.value.Interface())
}
