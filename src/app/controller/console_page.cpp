/// @file
/// @brief The operators' console: a page with forms that edit the configuration document, which is checked and
/// submitted as a whole.
#include "app/controller/controller_api.hpp"

namespace buckthornrail::app {
namespace {

constexpr const char* head = R"page(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>buckthornrail</title>
<style>
body { font-family: sans-serif; margin: 1.5em; max-width: 70em; color: #222; }
h1 { font-size: 1.4em; } h2 { font-size: 1.1em; margin-top: 1.5em; }
table { border-collapse: collapse; margin: .5em 0; } td, th { border: 1px solid #bbb; padding: .25em .6em; text-align: left; }
fieldset { border: 1px solid #bbb; margin: .6em 0; } label { margin-right: 1em; }
textarea { width: 100%; height: 18em; font-family: monospace; }
.good { color: #17692b; } .bad { color: #a11919; }
input { padding: .15em; } button { padding: .25em .8em; }
</style>
</head>
<body>
<h1>buckthornrail</h1>
<p><label>Operator token <input id="token" type="password" size="30"></label>
<button onclick="refresh()">Refresh</button> <span id="message"></span></p>
<h2>Now in force: version <span id="version">?</span></h2>
<table id="pipelines"></table>
<h2>Instances</h2>
<table id="instances"></table>
<h2>Change</h2>
<fieldset><legend>Workspace</legend>
<label>Name <input id="ws-name"></label><label>Weight <input id="ws-weight" value="1" size="5"></label>
<label>Highest priority <select id="ws-priority"><option>low<option selected>normal<option>high</select></label>
<label>In flight at most <input id="ws-limit" value="0" size="6"></label>
<button onclick="putWorkspace()">Put into document</button></fieldset>
<fieldset><legend>Model</legend>
<label>Name <input id="model-name"></label><label>Layers <input id="model-layers" value="1" size="5"></label>
<button onclick="putModel()">Put into document</button></fieldset>
<fieldset><legend>Pipeline</legend>
<label>Name <input id="p-name"></label><label>Model <input id="p-model"></label>
<label>Versions and shares <input id="p-versions" placeholder="1=90, 2=10"></label>
<label>Pools and shares <input id="p-pools" placeholder="empty: every target"></label><br>
<label>Workspaces <input id="p-workspaces" size="40" placeholder="empty: all"></label>
<label>Priority <select id="p-priority"><option>low<option selected>normal<option>high</select></label>
<button onclick="putPipeline()">Put into document</button></fieldset>
<fieldset><legend>Service</legend>
<label>Name <input id="s-name"></label><label>Workspaces <input id="s-workspaces" placeholder="empty: all"></label>
<label>Non-idempotent <input id="s-marks" size="30" placeholder="POST /bookings, PUT /tickets"></label>
<button onclick="putService()">Put into document</button></fieldset>
<fieldset><legend>Remove</legend>
<label>Kind <select id="r-kind"><option>workspaces<option>models<option>pipelines<option>services</select></label>
<label>Name <input id="r-name"></label><button onclick="removeEntry()">Remove from document</button></fieldset>
<p>The resulting document, based on version <span id="base">?</span>:</p>
<textarea id="document" spellcheck="false"></textarea>
<p><button onclick="check()">Check</button> <button onclick="submitChange()">Submit</button>
<label>Your name <input id="author" value="console"></label> <span id="result"></span></p>
)page";

constexpr const char* script = R"page(<script>
const get = id => document.getElementById(id);
const value = id => get(id).value.trim();
let base = null, changeId = null;
function call(method, path, body) {
  const headers = { 'Content-Type': 'application/json' };
  if (value('token')) headers['Authorization'] = 'Bearer ' + value('token');
  return fetch(path, { method, headers, body }).then(answer => answer.json());
}
function say(id, text, good) { get(id).textContent = text; get(id).className = good ? 'good' : 'bad'; }
function explain(error) { return error.code + ' ' + error.name + ': ' + error.message + (error.reason ? ' (' + error.reason + ')' : ''); }
function fill(id, rows) {
  const table = get(id); table.replaceChildren();
  rows.forEach((cells, at) => {
    const row = table.insertRow();
    cells.forEach(cell => { const part = document.createElement(at ? 'td' : 'th'); part.append(cell); row.append(part); });
  });
}
function list(text) { return text.split(',').map(part => part.trim()).filter(part => part); }
function shares(text, field) {
  return list(text).map(part => { const [name, share] = part.split('='); return { [field]: name.trim(), share: Number(share ?? 100) }; });
}
function current() { return JSON.parse(get('document').value); }
function change(edit) {
  try { const text = current(); edit(text); get('document').value = JSON.stringify(text, null, 2); say('result', 'not submitted yet', true); }
  catch (fault) { say('result', 'The document is not JSON: ' + fault.message, false); }
}
function putWorkspace() { change(d => d.workspaces[value('ws-name')] = { weight: Number(value('ws-weight')), max_priority: value('ws-priority'), max_in_flight: Number(value('ws-limit')) }); }
function putModel() { change(d => d.models[value('model-name')] = { layers: Number(value('model-layers')) }); }
function putPipeline() { change(d => d.pipelines[value('p-name')] = { model: value('p-model'), versions: shares(value('p-versions'), 'version'), pools: shares(value('p-pools'), 'pool'), workspaces: list(value('p-workspaces')), priority: value('p-priority') }); }
function putService() { change(d => d.services[value('s-name')] = { workspaces: list(value('s-workspaces')), non_idempotent: list(value('s-marks')).map(mark => { const [method, path] = mark.split(/\s+/); return { method, path_prefix: path ?? '' }; }) }); }
function removeEntry() { change(d => delete d[value('r-kind')][value('r-name')]); }
function drain(id, action) { call('POST', '/v1/instances/' + id + '/' + action, '{}').then(answer => { say('message', answer.error ? explain(answer.error) : action + ' requested for ' + id, !answer.error); refresh(); }); }
function refresh() {
  call('GET', '/v1/config').then(answer => {
    if (answer.error) { say('message', explain(answer.error), false); return; }
    get('version').textContent = get('base').textContent = base = answer.version;
    changeId = null;
    get('document').value = JSON.stringify(answer.document, null, 2);
    fill('pipelines', [['pipeline', 'model', 'versions', 'pools', 'workspaces', 'priority']].concat(Object.entries(answer.document.pipelines).map(([name, p]) =>
      [name, p.model, p.versions.map(v => v.version + ' ' + v.share + '%').join(', '), p.pools.map(v => v.pool + ' ' + v.share + '%').join(', ') || 'all', p.workspaces.join(', ') || 'all', p.priority])));
  });
  call('GET', '/v1/status').then(answer => {
    if (answer.error) return;
    fill('instances', [['instance', 'role', 'state', 'failure domain', 'target', '']].concat(answer.instances.map(one => {
      const button = document.createElement('button'); const action = one.drain_requested ? 'undrain' : 'drain';
      button.textContent = action; button.onclick = () => drain(one.id, action);
      const target = one.target ? one.target.kind + ' ' + one.target.model + one.target.service + ' ' + one.target.version : '';
      return [one.id, one.role, one.state, one.failure_domain, target, button]; })));
  });
}
function check() {
  call('POST', '/v1/config/check', get('document').value).then(answer =>
    say('result', answer.error ? explain(answer.error) : 'valid', !answer.error));
}
function submitChange() {
  let text; try { text = current(); } catch (fault) { say('result', 'The document is not JSON: ' + fault.message, false); return; }
  // The id stays until the answer is known: a second press resends the same change.
  changeId = changeId ?? 'console-' + Date.now() + '-' + Math.random().toString(16).slice(2);
  call('PUT', '/v1/config', JSON.stringify({ base, change_id: changeId, author: value('author'), document: text })).then(answer => {
    if (answer.error) { if (answer.error.ran === 'no') changeId = null; say('result', explain(answer.error), false); return; }
    say('result', 'accepted as version ' + answer.version, true); refresh();
  }).catch(fault => say('result', 'no answer (' + fault.message + '); press Submit again to resend', false));
}
refresh();
</script>
</body>
</html>
)page";

} // namespace

const std::string& consolePage()
{
    static const std::string page = std::string(head) + script;
    return page;
}

} // namespace buckthornrail::app
