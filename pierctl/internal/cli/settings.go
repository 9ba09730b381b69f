package cli

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Settings are the options of the settings file. Flags override them.
type Settings struct {
	Addresses []string      `yaml:"addresses" validate:"min=1,dive,https_address" description:"Operator addresses of the control instances."`
	CAFile    string        `yaml:"ca-file" description:"PEM file of the certificates that https addresses are verified against; empty means those of the operating system."`
	KeyFile   string        `yaml:"key-file" validate:"required" description:"File with the operator key on one line."`
	Output    string        `yaml:"output" validate:"oneof=table json csv" description:"Format of results; json is one object a line."`
	Timeout   time.Duration `yaml:"timeout" validate:"gt=0" description:"Bound of all attempts of a command or query."`
}

const defaultTimeout = 30 * time.Second

func defaultSettings() Settings {
	return Settings{Output: "table", Timeout: defaultTimeout}
}

// reference returns a Markdown table of all options.
func reference() string {
	s := defaultSettings()
	return settings.Reference(&s)
}

// loadSettings reads the settings file that the flag names or the default one, if it exists, and applies the
// flags.
func loadSettings(c *cli.Command) (Settings, error) {
	s := defaultSettings()
	path := c.String("settings")
	if path == "" {
		path = defaultPath()
	}
	if path != "" {
		if err := settings.Load(path, &s); err != nil {
			return s, err
		}
	}
	if c.IsSet("address") {
		s.Addresses = c.StringSlice("address")
	}
	if c.IsSet("key-file") {
		s.KeyFile = c.String("key-file")
	}
	if c.IsSet("ca-file") {
		s.CAFile = c.String("ca-file")
	}
	if c.IsSet("output") {
		s.Output = c.String("output")
	}
	if c.IsSet("timeout") {
		s.Timeout = c.Duration("timeout")
	}
	if err := settings.Parse("settings and flags", []byte("{}"), &s); err != nil {
		return s, err
	}
	return s, s.checkTLS()
}

// checkTLS rejects a CA file together with an address without https, to which the key would be sent
// unencrypted.
func (s Settings) checkTLS() error {
	for _, address := range s.Addresses {
		if s.CAFile != "" && !strings.HasPrefix(address, "https://") {
			return fault.New("check settings", Usage, "address %s is not encrypted; with ca-file each address must start with https://", address)
		}
	}
	return nil
}

// defaultPath returns the settings file in the user's configuration directory, if it exists.
func defaultPath() string {
	directory, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	path := filepath.Join(directory, "dandelionpier", "pierctl.yaml")
	if _, err := os.Stat(path); err != nil {
		return ""
	}
	return path
}

func readKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}
