// Package settings reads and checks the daemon's settings file: JSON with
// comments and trailing commas.
//
// The structs define the settings that a file may contain. The doc comment of
// a field is its documentation in docs/SETTINGS.md. The tags of a field are
// checked when a file is read:
//
//	required  the field must be present and not empty
//	format    of a string: name, addr (IP address and port), url, or env (name
//	          of an environment variable)
//	min, max  bounds of a number or duration
//	unit      of a number
//
// All faults of a file are reported together, each with its line and field.
// The file contains no secrets; it names the environment variables that
// contain them.
package settings
