package report

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Save writes the result of a policy to a directory and rewrites the table and the plots of all results
// in it.
func Save(directory string, p Policy) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return fault.Wrap(err, "save report", File, directory)
	}
	payload, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return fault.Wrap(err, "save report", File, directory)
	}
	path := filepath.Join(directory, p.Experiment+"."+p.Policy+".json")
	if err := os.WriteFile(path, payload, fileMode); err != nil {
		return fault.Wrap(err, "save report", File, path)
	}
	return Summarise(directory)
}

// Summarise writes summary.txt and the plots from all results in a directory.
func Summarise(directory string) error {
	policies, err := readPolicies(directory)
	if err != nil {
		return err
	}
	path := filepath.Join(directory, "summary.txt")
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, "write summary", File, path)
	}
	if err := WriteText(file, policies); err != nil {
		_ = file.Close()
		return fault.Wrap(err, "write summary", File, path)
	}
	if err := file.Close(); err != nil {
		return fault.Wrap(err, "write summary", File, path)
	}
	return plotAll(directory, policies)
}

func readPolicies(directory string) ([]Policy, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, fault.Wrap(err, "read reports", File, directory)
	}
	var policies []Policy
	for _, path := range paths {
		payload, err := os.ReadFile(path)
		if err != nil {
			return nil, fault.Wrap(err, "read reports", File, path)
		}
		var p Policy
		if err := json.Unmarshal(payload, &p); err != nil {
			return nil, fault.Wrap(err, "read reports", File, path)
		}
		policies = append(policies, p)
	}
	sortPolicies(policies)
	return policies, nil
}
