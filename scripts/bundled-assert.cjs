/** Stands in for `node:assert`, of which undici only calls the function itself: loading it costs a start. */
module.exports = function assert(value, message) {
  if (!value) throw message instanceof Error ? message : new Error(message ?? 'assertion failed');
};
