/** Scripted scenarios: NODE_OPTIONS='--import tsx' npx cucumber-js. See test/features/README.md. */
const common = {
  paths: ['test/features/**/*.feature'],
  require: ['test/features/steps/*.ts'],
  format: ['progress'],
  strict: true,
};

module.exports = {
  default: { ...common, tags: 'not @known-red' },
  // Scenarios that fail because of faults listed in KNOWN-RED.txt.
  red: { ...common, tags: '@known-red' },
};
