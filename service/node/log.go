package node

import (
	"io"
	"log/slog"

	"github.com/drumpath/drumpath/pkg/config"
)

// NewLogger returns a logger configured by s, and its level, which can be changed
// at run time.
func NewLogger(s config.LogSettings, w io.Writer) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	_ = level.UnmarshalText([]byte(s.Level)) // The settings are already validated.
	opts := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts)), level
	}
	return slog.New(slog.NewTextHandler(w, opts)), level
}
