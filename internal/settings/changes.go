package settings

import "reflect"

// ChangedKeys returns the keys whose values differ, in the order of the struct's fields.
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

// LiveKeys returns a copy of before with the changed live keys set as in after, and the
// changed keys that take effect only after a restart.
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
